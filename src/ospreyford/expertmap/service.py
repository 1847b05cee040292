"""A member of a rank group, composed: its keeper and its turn to lead."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import uuid_utils

from ospreyford.expertmap.calls import CoordinatorPorts, MemberCalls
from ospreyford.expertmap.coordinator import Coordinator
from ospreyford.expertmap.errors import (
    ExpertMapError,
    MemberLost,
    Outbid,
    Superseded,
)
from ospreyford.expertmap.gate import EngineGate
from ospreyford.expertmap.keeper import RankKeeper
from ospreyford.expertmap.leaves import Allotment, WeightPace
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
MOST_FAILURES = 2
#: Asks of a coordinator that loads weights, after which it counts as silent.
LOADS_MISSED = 2
#: How often an engine's weights are looked at while nothing is to be done.
IDLE_SECONDS = 2.0


class WeightPart(NamedTuple):
    """The weights of the engine of this host's ranks, and their store."""

    port: WeightPort
    pace: WeightPace


def draw_incarnation() -> int:
    """Draw a number that no other life of any member has.

    :returns: 63 random bits.
    """
    return uuid_utils.uuid4().int >> (UUID_BITS - INCARNATION_BITS)


class RankService:
    """The expert map's part of one agent process.

    :param settings: the member's settings.
    :param peers: question and answer between processes.
    :param clock: source of time.
    :param engine: the engine of this host's ranks.
    :param tasks: runs calls at the same time.
    :param incarnations: gives a number never given before.
    :param weights: the engine's memory; ``None`` for an engine that loads
        the weights itself when it is given a map.
    """

    def __init__(
        self,
        settings: RankSettings,
        peers: PeerPort,
        clock: Clock,
        engine: EnginePort,
        tasks: TaskPort | None = None,
        incarnations: Callable[[], int] = draw_incarnation,
        weights: WeightPart | None = None,
    ) -> None:
        gate = EngineGate(engine)
        self.weights: MemberWeights | None = None
        self._pace: WeightPace | None = None
        if weights is not None:
            self._pace = weights.pace
            self.weights = MemberWeights(
                settings.slot, weights.pace, weights.port, gate, clock
            )
        self.keeper = RankKeeper(
            settings.slot, gate, clock, incarnations, self.weights
        )
        self._settings = settings
        self._ports = CoordinatorPorts(peers, clock, tasks or CurioTasks())
        self._addresses = dict(enumerate(settings.addresses))
        self._highest = 0
        self._failures = 0
        self._patient = True
        self._waiting_since: float | None = None

    @property
    def current(self) -> MapName | None:
        """The map of the latest window released here."""
        released = self.keeper.released
        return None if released is None else released.map_name

    def propose(self, expert_map: ExpertMap) -> MapName:
        """Offer a map to the group; the newest one offered is taken up.

        :param expert_map: the map; its revision rises with every proposal.
        :returns: the map's name.
        """
        return self.keeper.maps.put(expert_map)

    def readdress(self, slot: int, address: str) -> None:
        """Follow a slot to another host.

        :param slot: the slot.
        :param address: its present peer address.
        """
        self._addresses[slot] = address

    async def run(self) -> None:
        """Serve the group and lead it when it is this member's turn.

        :raises Superseded: another process orders this engine; end this one.
        """
        poll_seconds = self._settings.poll_seconds
        while not await self.keeper.start():
            await self._ports.clock.sleep(poll_seconds)
        self._ports.peers.serve(self._settings.topic(), self.keeper.answer)
        while True:
            await self._ports.clock.sleep(poll_seconds)
            if self.keeper.superseded:
                raise Superseded
            if await self._should_lead():
                await self._lead()

    async def run_weights(self) -> None:
        """Have the engine load and free weights, for as long as this runs."""
        if self.weights is None:
            return
        clock = self._ports.clock
        tended_at = clock.monotonic()
        while not self.keeper.superseded:
            idle = clock.monotonic() - tended_at
            if self.weights.is_due() or idle > IDLE_SECONDS:
                tended_at = clock.monotonic()
                await self.keeper.readiness.tend(self.keeper)
            await clock.sleep(self._settings.poll_seconds)

    async def _should_lead(self) -> bool:
        if not await self._wants_steps():
            self._waiting_since = None
            return False
        now = self._ports.clock.monotonic()
        if self._waiting_since is None:
            self._waiting_since = now
        waited = now - max(self._waiting_since, self.keeper.heard_at)
        if self._patient and waited < self._patience():
            return False
        return self._holds_slot()

    async def _wants_steps(self) -> bool:
        status = await self.keeper.read_status()
        if status is None:
            return False
        await self.keeper.retry_grants()
        released = self.keeper.released
        if released is None:
            return True
        return released.last_step - status.step < self._settings.lead_steps

    def _patience(self) -> float:
        # A member that could not reach everyone lets the others try: one of
        # them may have whole links where this one's are cut.
        settings = self._settings
        share = settings.slot / len(settings.addresses)
        # A fresh member's engine stands, and with it the whole group.
        base = settings.takeover_seconds
        if self.keeper.generation == NO_BALLOT:
            base = settings.poll_seconds
        if self.keeper.readiness.forming:
            base = settings.load_seconds * LOADS_MISSED
        return base * (1 << self._failures) + share * settings.takeover_seconds

    def _holds_slot(self) -> bool:
        # A member whose slot moved to another host while it was cut off
        # would only outbid the group that goes on without it.
        mine = self._settings.addresses[self._settings.slot]
        return self._addresses[self._settings.slot] == mine

    async def _lead(self) -> None:
        ballot = self._next_ballot()
        calls = MemberCalls(
            self._settings,
            self._addresses,
            self.keeper,
            self._ports,
            ballot,
        )
        allotment = None
        if self._pace is not None:
            now = self._ports.clock.monotonic()
            allotment = Allotment(self._pace, ballot, now)
        self._patient = True
        try:
            await Coordinator(self._settings, calls, allotment).lead()
        except Outbid as outbid:
            self._highest = max(self._highest, outbid.promised.number)
            self._failures = 0
        except MemberLost:
            # Everyone answered and one is new: form the next generation now.
            self._patient = False
        except ExpertMapError:
            self._failures = min(self._failures + 1, MOST_FAILURES)

    def _next_ballot(self) -> Ballot:
        promised = self.keeper.promised.number
        self._highest = max(self._highest, promised) + 1
        return Ballot(number=self._highest, incarnation=self.keeper.incarnation)
