"""Anti-entropy: synchronizes the parts of views whose digests differ."""

from __future__ import annotations

from typing import Final

import msgspec

from ospreyford.membership.bytebudget import ByteBudget
from ospreyford.membership.context import MembershipContext
from ospreyford.membership.digests import (
    BUCKETS_PER_ZONE,
    Bucket,
    Record,
    compute_identity_hash,
    compute_version_hash,
)
from ospreyford.membership.exchanges import ExchangeHandler
from ospreyford.membership.member import Member
from ospreyford.membership.messages import (
    Change,
    Description,
    MalformedMessage,
    decode,
    encode_change,
)
from ospreyford.membership.repairmessages import (
    COMPARE_TOPIC,
    SYNC_TOPIC,
    CompareRequest,
    CompareResponse,
    SyncRequest,
    SyncResponse,
)
from ospreyford.ports.peers import PeerPort

#: Approximate bytes of a request and its response besides their bodies.
_OVERHEAD_BYTES: Final = 100


class Repairs:
    """Fetches missing updates at a bounded rate.

    Recovers updates that gossip no longer sends, after a partition, a pause
    or a start.

    :param context: the shared state.
    :param exchanges: records which buckets differ.
    :param peers: transport to other processes.
    """

    def __init__(
        self,
        context: MembershipContext,
        exchanges: ExchangeHandler,
        peers: PeerPort,
    ) -> None:
        self._context = context
        self._exchanges = exchanges
        self._peers = peers
        settings = context.settings
        self._byte_budget = ByteBudget(
            settings.sync_bytes,
            settings.sync_seconds,
            context.clock,
        )

    def register_handlers(self, peers: PeerPort) -> None:
        """Register the handlers.

        :param peers: transport to other processes.
        """
        peers.serve(SYNC_TOPIC, self.handle_sync)
        peers.serve(COMPARE_TOPIC, self.handle_compare)

    async def repair(self, deadline: float) -> None:
        """Repair differing buckets while byte budget and time are left.

        :param deadline: monotonic time after which no repair starts.
        """
        while self._byte_budget.has_bytes():
            if not await self._repair_next():
                return
            if self._context.clock.monotonic() >= deadline:
                return

    async def handle_sync(self, body: bytes) -> bytes | None:
        """Respond to a sync request.

        :param body: the encoded request.
        :returns: the encoded response; ``None`` if the request is malformed.
        """
        try:
            request = decode(body, SyncRequest)
        except MalformedMessage:
            self._context.counters.malformed_messages += 1
            return None
        response = SyncResponse([], [])
        available_bytes = self._context.settings.sync_bytes
        bucket = Bucket(request.zone, request.bucket)
        for record in self._context.view.digests.list_records(bucket):
            entry = self._encode_difference(record, request)
            if entry is not None and entry.estimate_size() <= available_bytes:
                available_bytes -= entry.estimate_size()
                _add_entry(response, entry)
        return msgspec.msgpack.encode(response)

    async def handle_compare(self, body: bytes) -> bytes | None:
        """Respond to a compare request.

        :param body: the encoded request.
        :returns: the encoded response; ``None`` if the request is malformed.
        """
        try:
            request = decode(body, CompareRequest)
        except MalformedMessage:
            self._context.counters.malformed_messages += 1
            return None
        own_digests = self._context.view.digests.get_bucket_digests(
            request.zone
        )
        pairs = zip(own_digests, request.digests, strict=True)
        differing = [
            number
            for number, (own, requested) in enumerate(pairs)
            if own != requested
        ]
        return msgspec.msgpack.encode(CompareResponse(differing))

    async def _repair_next(self) -> bool:
        own_zone = self._context.zone
        buckets = self._exchanges.differing_buckets
        zones = self._exchanges.differing_zones
        own_zone_buckets = [
            bucket for bucket in buckets if bucket.zone == own_zone
        ]
        if own_zone_buckets:
            return await self._repair_bucket(own_zone_buckets)
        if own_zone in zones:
            return await self._compare_zone(own_zone)
        if buckets:
            return await self._repair_bucket(list(buckets))
        if zones:
            return await self._compare_zone(
                self._context.rng.choice(list(zones))
            )
        return False

    async def _compare_zone(self, zone: str) -> bool:
        member = self._exchanges.differing_zones.pop(zone)
        digests = self._context.view.digests.get_bucket_digests(zone)
        request = msgspec.msgpack.encode(CompareRequest(zone, digests))
        response = await self._send_request(member, COMPARE_TOPIC, request)
        if response is None:
            return False
        try:
            differing = decode(response, CompareResponse).buckets
        except MalformedMessage:
            self._context.counters.malformed_messages += 1
            return False
        for number in differing:
            if 0 <= number < BUCKETS_PER_ZONE:
                self._exchanges.differing_buckets[Bucket(zone, number)] = member
        return True

    async def _repair_bucket(self, buckets: list[Bucket]) -> bool:
        self._context.counters.repairs += 1
        bucket = self._context.rng.choice(buckets)
        member = self._exchanges.differing_buckets.pop(bucket)
        request = msgspec.msgpack.encode(self._build_sync_request(bucket))
        response = await self._send_request(member, SYNC_TOPIC, request)
        if response is None:
            return False
        self._handle_sync_response(response)
        return True

    async def _send_request(
        self,
        member: Member,
        topic: str,
        request: bytes,
    ) -> bytes | None:
        response = await self._peers.ask(
            member.peer_address,
            topic,
            request,
            self._context.settings.probe_timeout,
        )
        self._byte_budget.consume(_OVERHEAD_BYTES + len(request))
        self._byte_budget.consume(len(response or b''))
        return response

    def _build_sync_request(self, bucket: Bucket) -> SyncRequest:
        records = self._context.view.digests.list_records(bucket)
        return SyncRequest(
            bucket.zone,
            bucket.number,
            {
                compute_identity_hash(record): compute_version_hash(record)
                for record in records
            },
        )

    def _encode_difference(
        self,
        record: Record,
        request: SyncRequest,
    ) -> Change | Description | None:
        known = request.known.get(compute_identity_hash(record))
        if known is None:
            return self._context.describe(record)
        if known == compute_version_hash(record):
            return None
        return encode_change(record.member.name, record.version)

    def _handle_sync_response(self, body: bytes) -> None:
        try:
            self._merge_response(decode(body, SyncResponse))
        except MalformedMessage:
            self._context.counters.malformed_messages += 1

    def _merge_response(self, response: SyncResponse) -> None:
        for description in response.descriptions:
            self._context.merge_description(description)
        for change in response.changes:
            self._context.view.merge(change.name, change.to_version())


def _add_entry(response: SyncResponse, entry: Change | Description) -> None:
    match entry:
        case Change():
            response.changes.append(entry)
        case Description():
            response.descriptions.append(entry)
