"""Comparing views where their digests differ."""

from __future__ import annotations

from typing import Final

import msgspec

from ospreyford.membership.allowance import Allowance
from ospreyford.membership.digests import (
    BUCKETS,
    Bucket,
    Record,
    identity_hash,
    version_hash,
)
from ospreyford.membership.exchanges import Exchanges
from ospreyford.membership.member import Member
from ospreyford.membership.messages import (
    Change,
    Description,
    MalformedMessage,
    decode,
    write_change,
)
from ospreyford.membership.repairmessages import (
    COMPARE,
    SYNC,
    CompareAnswer,
    CompareQuestion,
    SyncAnswer,
    SyncQuestion,
)
from ospreyford.membership.tables import Tables
from ospreyford.ports.peers import PeerPort

#: What a question and its answer take besides their bodies, about; it also
#: bounds the number of empty ones.
_OVERHEAD_BYTES: Final = 100


class Repairs:
    """Fetches what this process lacks, at a bounded rate.

    Changes are passed on only so many times; who was cut off, paused or
    started since then finds by a digest that it lacks some.

    :param tables: the shared tables.
    :param exchanges: notes which buckets differ.
    :param peers: messages to other processes.
    """

    def __init__(
        self,
        tables: Tables,
        exchanges: Exchanges,
        peers: PeerPort,
    ) -> None:
        self._tables = tables
        self._exchanges = exchanges
        self._peers = peers
        settings = tables.settings
        self._allowance = Allowance(
            settings.sync_bytes,
            settings.sync_seconds,
            tables.clock,
        )

    def serve(self, peers: PeerPort) -> None:
        """Register the handlers.

        :param peers: messages to other processes.
        """
        peers.serve(SYNC, self.answer)
        peers.serve(COMPARE, self.answer_comparison)

    async def repair(self, until: float) -> None:
        """Repair buckets that differ, while bytes and time are left.

        :param until: when to begin no further one, by the monotonic clock;
            a bucket that is far away must not hold up the next probe.
        """
        # One bucket at a time would leave most of the bytes unused: in a
        # fleet just started a bucket holds a few members, and learning all
        # the others took minutes.
        while self._allowance.is_left():
            if not await self._go_on():
                return
            if self._tables.clock.monotonic() >= until:
                return

    async def answer(self, body: bytes) -> bytes | None:
        """Answer another's repair.

        :param body: the encoded question.
        :returns: the encoded answer.
        """
        try:
            question = decode(body, SyncQuestion)
        except MalformedMessage:
            self._tables.counters.malformed += 1
            return None
        answer = SyncAnswer([], [])
        left = self._tables.settings.sync_bytes
        bucket = Bucket(question.zone, question.bucket)
        for record in self._tables.view.digests.shared(bucket):
            entry = self._entry(record, question)
            if entry is not None and entry.size() <= left:
                left -= entry.size()
                _put(answer, entry)
        return msgspec.msgpack.encode(answer)

    async def answer_comparison(self, body: bytes) -> bytes | None:
        """Answer which buckets differ.

        :param body: the encoded question.
        :returns: the encoded answer.
        """
        try:
            question = decode(body, CompareQuestion)
        except MalformedMessage:
            self._tables.counters.malformed += 1
            return None
        mine = self._tables.view.digests.bucket_digests(question.zone)
        pairs = zip(mine, question.digests, strict=True)
        differing = [
            number for number, (one, other) in enumerate(pairs) if one != other
        ]
        return msgspec.msgpack.encode(CompareAnswer(differing))

    async def _go_on(self) -> bool:
        near = self._tables.zone
        buckets = self._exchanges.differing
        zones = self._exchanges.differing_zones
        near_buckets = [bucket for bucket in buckets if bucket.zone == near]
        if near_buckets:
            return await self._repair_one(near_buckets)
        if near in zones:
            return await self._compare(near)
        if buckets:
            return await self._repair_one(list(buckets))
        if zones:
            return await self._compare(self._tables.rng.choice(list(zones)))
        return False

    async def _compare(self, zone: str) -> bool:
        member = self._exchanges.differing_zones.pop(zone)
        digests = self._tables.view.digests.bucket_digests(zone)
        question = msgspec.msgpack.encode(CompareQuestion(zone, digests))
        answer = await self._ask(member, COMPARE, question)
        if answer is None:
            return False
        try:
            differing = decode(answer, CompareAnswer).buckets
        except MalformedMessage:
            self._tables.counters.malformed += 1
            return False
        for number in differing:
            if 0 <= number < BUCKETS:
                self._exchanges.differing[Bucket(zone, number)] = member
        return True

    async def _repair_one(self, buckets: list[Bucket]) -> bool:
        self._tables.counters.repairs += 1
        bucket = self._tables.rng.choice(buckets)
        member = self._exchanges.differing.pop(bucket)
        question = msgspec.msgpack.encode(self._question(bucket))
        answer = await self._ask(member, SYNC, question)
        if answer is None:
            return False
        self._absorb(answer)
        return True

    async def _ask(
        self,
        member: Member,
        topic: str,
        question: bytes,
    ) -> bytes | None:
        answer = await self._peers.ask(
            member.peer_address,
            topic,
            question,
            self._tables.settings.probe_timeout,
        )
        self._allowance.use(_OVERHEAD_BYTES + len(question))
        self._allowance.use(len(answer or b''))
        return answer

    def _question(self, bucket: Bucket) -> SyncQuestion:
        shared = self._tables.view.digests.shared(bucket)
        return SyncQuestion(
            bucket.zone,
            bucket.number,
            {identity_hash(record): version_hash(record) for record in shared},
        )

    def _entry(
        self,
        record: Record,
        question: SyncQuestion,
    ) -> Change | Description | None:
        known = question.known.get(identity_hash(record))
        if known is None:
            return self._tables.describe(record)
        if known == version_hash(record):
            return None
        return write_change(record.member.name, record.version)

    def _absorb(self, body: bytes) -> None:
        try:
            self._take_over(decode(body, SyncAnswer))
        except MalformedMessage:
            self._tables.counters.malformed += 1

    def _take_over(self, answer: SyncAnswer) -> None:
        for description in answer.descriptions:
            self._tables.merge_description(description)
        for change in answer.changes:
            self._tables.view.merge(change.name, change.version())


def _put(answer: SyncAnswer, entry: Change | Description) -> None:
    match entry:
        case Change():
            answer.changes.append(entry)
        case Description():
            answer.descriptions.append(entry)
