"""Probing members, directly and through others."""

from __future__ import annotations

import msgspec

from ospreyford.membership.digests import Record
from ospreyford.membership.exchanges import Exchanges, Sender
from ospreyford.membership.member import MemberState
from ospreyford.membership.messages import (
    PING,
    RELAY,
    Exchange,
    MalformedMessage,
    RelayAnswer,
    RelayQuestion,
    decode,
)
from ospreyford.membership.relays import choose_helpers
from ospreyford.membership.suspicions import Suspicions
from ospreyford.membership.tables import Tables
from ospreyford.membership.targets import (
    ProbeMember,
    ProbeSeed,
    Target,
    Targets,
)
from ospreyford.ports.peers import PeerPort


class Prober:
    """Probes members and suspects those that nobody reaches.

    :param tables: the shared tables.
    :param exchanges: writes and reads probes.
    :param targets: tells who is judged here.
    :param suspicions: takes the suspects.
    :param peers: messages to other processes.
    """

    def __init__(
        self,
        tables: Tables,
        exchanges: Exchanges,
        targets: Targets,
        suspicions: Suspicions,
        peers: PeerPort,
    ) -> None:
        #: When any member last answered, also as a helper.
        self.heard_at = float('-inf')
        self._tables = tables
        self._exchanges = exchanges
        self._targets = targets
        self._suspicions = suspicions
        self._peers = peers

    def is_stale(self) -> bool:
        """Tell whether the view is from before a pause, or empty.

        :returns: whether too few members answered since.
        """
        wanted = self._tables.settings.wake_probes
        if not self._tables.pulse.is_stale(wanted):
            return False
        me = self._tables.view.me
        others = sum(
            record.state is not MemberState.dead and record.member.name != me
            for record in self._tables.view
        )
        return self._tables.pulse.is_stale(min(wanted, others))

    async def probe(self, target: Target) -> None:
        """Probe a target.

        :param target: a member or a seed.
        """
        self._tables.pulse.note_attempt()
        match target:
            case ProbeSeed(address):
                await self.ping(address, None)
            case ProbeMember(record):
                await self._probe_member(record)

    async def ping(self, address: str, record: Record | None) -> Sender | None:
        """Exchange views with whoever listens at an address.

        :param address: the peer address.
        :param record: the member expected there, if known.
        :returns: who answered, if anyone.
        """
        wakes = self._tables.pulse.wakes
        sender = await self._exchange(address, record, introduce=False)
        if sender is not None and sender.lacks_me:
            again = await self._exchange(
                address,
                self._tables.view.find(sender.name),
                introduce=True,
            )
            sender = again or sender
        if sender is not None and sender.record is not None:
            self.heard_at = self._tables.clock.monotonic()
            self._tables.pulse.note_proof(sender.name, wakes)
            self._tables.zones.note_heard(sender.record.member.zone)
        return sender

    async def reaches(self, address: str, name: str, incarnation: str) -> bool:
        """Probe a member by name.

        :param address: its peer address.
        :param name: its name; another process may have its address by now.
        :param incarnation: its incarnation; a later one will do.
        :returns: whether it answered.
        """
        sender = await self.ping(address, self._tables.view.find(name))
        return (
            sender is not None
            and sender.name == name
            and sender.version.incarnation >= incarnation
        )

    async def _probe_member(self, record: Record) -> None:
        member = record.member
        version = record.version
        self._tables.counters.probes += 1
        if await self.reaches(
            member.peer_address,
            member.name,
            member.incarnation,
        ):
            return
        self._tables.counters.failed_probes += 1
        if member.zone != self._tables.zone:
            self._tables.zones.note_failure(member.zone)
        if not self._targets.is_judged_here(record):
            return
        if await self._is_unreachable(record):
            self._suspicions.suspect(record, version)

    async def _is_unreachable(self, record: Record) -> bool:
        # A process that hears nobody can't tell its own fault from theirs,
        # and would report all others dead once it is heard again. So at
        # least one other must confirm that the member is silent.
        member = record.member
        question = RelayQuestion(
            member.name,
            member.incarnation,
            member.peer_address,
        )
        body = msgspec.msgpack.encode(question)
        helpers = choose_helpers(self._tables, record)
        witnesses = 0
        while helpers:
            match await self._ask_helper(helpers.pop(), body):
                case RelayAnswer(is_reached=True):
                    return False
                case RelayAnswer(is_reached=False):
                    witnesses += 1
        if not witnesses:
            self._tables.counters.isolated += 1
        return witnesses > 0

    async def _ask_helper(
        self,
        helper: Record,
        body: bytes,
    ) -> RelayAnswer | None:
        self._tables.counters.relays += 1
        answer = await self._peers.ask(
            helper.member.peer_address,
            RELAY,
            body,
            self._tables.settings.relay_timeout,
        )
        self._tables.pulse.touch()
        if answer is None:
            return None
        self.heard_at = self._tables.clock.monotonic()
        try:
            return decode(answer, RelayAnswer)
        except MalformedMessage:
            self._tables.counters.malformed += 1
            return None

    async def _exchange(
        self,
        address: str,
        record: Record | None,
        *,
        introduce: bool,
    ) -> Sender | None:
        exchange = self._exchanges.compose(record, introduce=introduce)
        answer = await self._peers.ask(
            address,
            PING,
            msgspec.msgpack.encode(exchange),
            self._tables.settings.probe_timeout,
        )
        self._tables.pulse.touch()
        if answer is None:
            return None
        try:
            return self._exchanges.absorb(decode(answer, Exchange))
        except MalformedMessage:
            self._tables.counters.malformed += 1
            return None
