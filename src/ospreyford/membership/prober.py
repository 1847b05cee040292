"""Direct and indirect probing of members."""

from __future__ import annotations

import msgspec

from ospreyford.membership.context import MembershipContext
from ospreyford.membership.digests import Record
from ospreyford.membership.exchanges import ExchangeHandler, Sender
from ospreyford.membership.helperselection import select_helpers
from ospreyford.membership.member import MemberState
from ospreyford.membership.messages import (
    INDIRECT_PROBE_TOPIC,
    PING_TOPIC,
    Exchange,
    IndirectProbeRequest,
    IndirectProbeResponse,
    MalformedMessage,
    decode,
)
from ospreyford.membership.suspicions import Suspicions
from ospreyford.membership.targets import (
    ProbeMember,
    ProbeSeed,
    Target,
    TargetSelector,
)
from ospreyford.ports.peers import PeerPort


class Prober:
    """Probes members and suspects those that are unreachable.

    :param context: the shared state.
    :param exchanges: builds and handles exchanges.
    :param targets: tells which members this process may suspect.
    :param suspicions: tracks the suspects.
    :param peers: transport to other processes.
    """

    def __init__(
        self,
        context: MembershipContext,
        exchanges: ExchangeHandler,
        targets: TargetSelector,
        suspicions: Suspicions,
        peers: PeerPort,
    ) -> None:
        #: Monotonic time of the last response to any probe.
        self.last_response_at = float('-inf')
        self._context = context
        self._exchanges = exchanges
        self._targets = targets
        self._suspicions = suspicions
        self._peers = peers

    def is_stale(self) -> bool:
        """Test whether the view dates from before a pause.

        :returns: whether too few members have responded since.
        """
        min_responses = self._context.settings.wake_probes
        if not self._context.pause_detector.is_stale(min_responses):
            return False
        own_name = self._context.view.me
        others = sum(
            record.state is not MemberState.dead
            and record.member.name != own_name
            for record in self._context.view
        )
        return self._context.pause_detector.is_stale(min(min_responses, others))

    async def probe(self, target: Target) -> None:
        """Probe a target.

        :param target: a member or a seed.
        """
        self._context.pause_detector.record_probe()
        match target:
            case ProbeSeed(address):
                await self.ping(address, None)
            case ProbeMember(record):
                await self._probe_member(record)

    async def ping(self, address: str, record: Record | None) -> Sender | None:
        """Send a direct probe to an address.

        :param address: the peer address.
        :param record: the member expected there, if known.
        :returns: the sender of the response, if any.
        """
        pause_count = self._context.pause_detector.pause_count
        sender = await self._send_exchange(address, record, introduce=False)
        if sender is not None and sender.needs_introduction:
            introduced = await self._send_exchange(
                address,
                self._context.view.find(sender.name),
                introduce=True,
            )
            sender = introduced or sender
        if sender is not None and sender.record is not None:
            self.last_response_at = self._context.clock.monotonic()
            self._context.pause_detector.record_response(
                sender.name, pause_count
            )
            self._context.zone_reachability.record_message(
                sender.record.member.zone
            )
        return sender

    async def check_reachable(
        self, address: str, name: str, incarnation: str
    ) -> bool:
        """Send a direct probe to a member and check who responds.

        :param address: its peer address, which may have been reassigned.
        :param name: its name.
        :param incarnation: its incarnation, or an earlier one.
        :returns: whether the member responded.
        """
        sender = await self.ping(address, self._context.view.find(name))
        return (
            sender is not None
            and sender.name == name
            and sender.version.incarnation >= incarnation
        )

    async def _probe_member(self, record: Record) -> None:
        member = record.member
        version = record.version
        self._context.counters.probes += 1
        if await self.check_reachable(
            member.peer_address,
            member.name,
            member.incarnation,
        ):
            return
        self._context.counters.failed_probes += 1
        if member.zone != self._context.zone:
            self._context.zone_reachability.record_failure(member.zone)
        if not self._targets.can_suspect(record):
            return
        if await self._confirm_unreachable(record):
            self._suspicions.suspect(record, version)

    async def _confirm_unreachable(self, record: Record) -> bool:
        # An isolated process must not suspect all others: at least one
        # helper must confirm the failure.
        member = record.member
        request = IndirectProbeRequest(
            member.name,
            member.incarnation,
            member.peer_address,
        )
        body = msgspec.msgpack.encode(request)
        helpers = select_helpers(self._context, record)
        confirmations = 0
        while helpers:
            match await self._request_indirect_probe(helpers.pop(), body):
                case IndirectProbeResponse(is_reachable=True):
                    return False
                case IndirectProbeResponse(is_reachable=False):
                    confirmations += 1
        if not confirmations:
            self._context.counters.unconfirmed_failures += 1
        return confirmations > 0

    async def _request_indirect_probe(
        self,
        helper: Record,
        body: bytes,
    ) -> IndirectProbeResponse | None:
        self._context.counters.indirect_probes += 1
        response = await self._peers.ask(
            helper.member.peer_address,
            INDIRECT_PROBE_TOPIC,
            body,
            self._context.settings.relay_timeout,
        )
        self._context.pause_detector.record_activity()
        if response is None:
            return None
        self.last_response_at = self._context.clock.monotonic()
        try:
            return decode(response, IndirectProbeResponse)
        except MalformedMessage:
            self._context.counters.malformed_messages += 1
            return None

    async def _send_exchange(
        self,
        address: str,
        record: Record | None,
        *,
        introduce: bool,
    ) -> Sender | None:
        exchange = self._exchanges.build_exchange(record, introduce=introduce)
        response = await self._peers.ask(
            address,
            PING_TOPIC,
            msgspec.msgpack.encode(exchange),
            self._context.settings.probe_timeout,
        )
        self._context.pause_detector.record_activity()
        if response is None:
            return None
        try:
            return self._exchanges.handle_exchange(decode(response, Exchange))
        except MalformedMessage:
            self._context.counters.malformed_messages += 1
            return None
