"""Service of one rank-group member: acceptor, election and weights."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import uuid_utils

from ospreyford.expertmap.acceptor import RankAcceptor
from ospreyford.expertmap.coordinator import Coordinator
from ospreyford.expertmap.errors import (
    BallotPreempted,
    ExpertMapError,
    MemberLost,
    Superseded,
)
from ospreyford.expertmap.fencedengine import FencedEngine
from ospreyford.expertmap.memberclient import CoordinatorPorts, MemberClient
from ospreyford.expertmap.readcredits import CreditAllocator, WeightLimits
from ospreyford.expertmap.tasks import CurioTasks
from ospreyford.expertmap.weights import MemberWeights
from ospreyford.expertmap.windows import NO_BALLOT, Ballot

if TYPE_CHECKING:
    from ospreyford.expertmap.maps import ExpertMap, MapName
    from ospreyford.expertmap.ports import EnginePort, TaskPort
    from ospreyford.expertmap.settings import RankSettings
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.peers import PeerPort
    from ospreyford.ports.weights import WeightPort

UUID_BITS = 128
INCARNATION_BITS = 63
MAX_BACKOFF_DOUBLINGS = 2
#: Load intervals without a request after which a coordinator is replaced.
MISSED_LOAD_INTERVALS = 2
IDLE_CHECK_SECONDS = 2.0


class EngineWeights(NamedTuple):
    """Weight port of the local engine, and the limits of its loads."""

    port: WeightPort
    limits: WeightLimits


def generate_incarnation() -> int:
    """Generate a unique incarnation number.

    :returns: 63 random bits.
    """
    return uuid_utils.uuid4().int >> (UUID_BITS - INCARNATION_BITS)


class RankService:
    """Takes part in the expert-map consensus of one rank group.

    :param settings: the member's settings.
    :param peers: requests and responses between processes.
    :param clock: source of time.
    :param engine: the local engine.
    :param tasks: runs coroutines concurrently.
    :param next_incarnation: generates unique numbers.
    :param weights: the engine's weights; ``None`` for an engine that loads
        them on its own.
    """

    def __init__(
        self,
        settings: RankSettings,
        peers: PeerPort,
        clock: Clock,
        engine: EnginePort,
        tasks: TaskPort | None = None,
        next_incarnation: Callable[[], int] = generate_incarnation,
        weights: EngineWeights | None = None,
    ) -> None:
        fenced_engine = FencedEngine(engine)
        self.weights: MemberWeights | None = None
        self._limits: WeightLimits | None = None
        if weights is not None:
            self._limits = weights.limits
            self.weights = MemberWeights(
                settings.slot,
                weights.limits,
                weights.port,
                fenced_engine,
                clock,
            )
        self.acceptor = RankAcceptor(
            settings.slot, fenced_engine, clock, next_incarnation, self.weights
        )
        self._settings = settings
        self._ports = CoordinatorPorts(peers, clock, tasks or CurioTasks())
        self._addresses = dict(enumerate(settings.addresses))
        self._highest_ballot_number = 0
        self._failures = 0
        self._waits_for_timeout = True
        self._steps_needed_since: float | None = None

    @property
    def current(self) -> MapName | None:
        """The map of the latest released window."""
        released = self.acceptor.released
        return None if released is None else released.map_name

    def propose(self, expert_map: ExpertMap) -> MapName:
        """Propose a map to the group, which adopts the newest one proposed.

        :param expert_map: the map; its revision increases with every proposal.
        :returns: the map's name.
        """
        return self.acceptor.maps.put(expert_map)

    def readdress(self, slot: int, address: str) -> None:
        """Update the address of a slot after its host was replaced.

        :param slot: the slot.
        :param address: its current peer address.
        """
        self._addresses[slot] = address

    async def run(self) -> None:
        """Handle requests, and lead the group after a takeover timeout.

        :raises Superseded: another process controls this engine.
        """
        poll_seconds = self._settings.poll_seconds
        while not await self.acceptor.start():
            await self._ports.clock.sleep(poll_seconds)
        self._ports.peers.serve(
            self._settings.topic(), self.acceptor.handle_request
        )
        while True:
            await self._ports.clock.sleep(poll_seconds)
            if self.acceptor.superseded:
                raise Superseded
            if await self._should_lead():
                await self._lead()

    async def run_weights(self) -> None:
        """Order loads and drops until superseded."""
        if self.weights is None:
            return
        clock = self._ports.clock
        reconciled_at = clock.monotonic()
        while not self.acceptor.superseded:
            idle_seconds = clock.monotonic() - reconciled_at
            if (
                self.weights.needs_reconcile()
                or idle_seconds > IDLE_CHECK_SECONDS
            ):
                reconciled_at = clock.monotonic()
                await self.acceptor.readiness.reconcile_weights(self.acceptor)
            await clock.sleep(self._settings.poll_seconds)

    async def _should_lead(self) -> bool:
        if not await self._needs_steps():
            self._steps_needed_since = None
            return False
        now = self._ports.clock.monotonic()
        if self._steps_needed_since is None:
            self._steps_needed_since = now
        waited_seconds = now - max(
            self._steps_needed_since, self.acceptor.last_contact_at
        )
        if (
            self._waits_for_timeout
            and waited_seconds < self._compute_takeover_timeout()
        ):
            return False
        return self._owns_slot()

    async def _needs_steps(self) -> bool:
        status = await self.acceptor.read_status()
        if status is None:
            return False
        await self.acceptor.retry_grants()
        released = self.acceptor.released
        if released is None:
            return True
        return released.last_step - status.step < self._settings.lead_steps

    def _compute_takeover_timeout(self) -> float:
        # Back off after failures: another member may reach the whole group.
        settings = self._settings
        slot_fraction = settings.slot / len(settings.addresses)
        # The engine of a member that has not joined blocks the whole group.
        timeout_seconds = settings.takeover_seconds
        if self.acceptor.generation == NO_BALLOT:
            timeout_seconds = settings.poll_seconds
        if self.acceptor.readiness.forming:
            timeout_seconds = settings.load_seconds * MISSED_LOAD_INTERVALS
        return (
            timeout_seconds * (1 << self._failures)
            + slot_fraction * settings.takeover_seconds
        )

    def _owns_slot(self) -> bool:
        # After a replacement of this host, leading would only preempt the
        # group.
        own_address = self._settings.addresses[self._settings.slot]
        return self._addresses[self._settings.slot] == own_address

    async def _lead(self) -> None:
        ballot = self._make_ballot()
        members = MemberClient(
            self._settings,
            self._addresses,
            self.acceptor,
            self._ports,
            ballot,
        )
        credits = None
        if self._limits is not None:
            now = self._ports.clock.monotonic()
            credits = CreditAllocator(self._limits, ballot, now)
        self._waits_for_timeout = True
        try:
            await Coordinator(self._settings, members, credits).lead()
        except BallotPreempted as preempted:
            self._highest_ballot_number = max(
                self._highest_ballot_number, preempted.promised.number
            )
            self._failures = 0
        except MemberLost:
            # All members responded, so a new generation can form at once.
            self._waits_for_timeout = False
        except ExpertMapError:
            self._failures = min(self._failures + 1, MAX_BACKOFF_DOUBLINGS)

    def _make_ballot(self) -> Ballot:
        promised = self.acceptor.promised.number
        self._highest_ballot_number = (
            max(self._highest_ballot_number, promised) + 1
        )
        return Ballot(
            number=self._highest_ballot_number,
            incarnation=self.acceptor.incarnation,
        )
