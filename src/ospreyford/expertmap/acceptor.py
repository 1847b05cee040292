"""Acceptor of a rank group: promises, votes and grants of one member."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ospreyford.expertmap.errors import Superseded
from ospreyford.expertmap.maps import MapCache
from ospreyford.expertmap.messages import (
    Accepted,
    Busy,
    Extend,
    Fetch,
    Fetched,
    Install,
    Installed,
    Prepare,
    Promise,
    Refused,
    Request,
    Response,
    decode_request,
    encode,
)
from ospreyford.expertmap.readiness import Readiness
from ospreyford.expertmap.windows import NO_BALLOT, Ballot, Vote, Window

if TYPE_CHECKING:
    from ospreyford.expertmap.fencedengine import FencedEngine
    from ospreyford.expertmap.ports import EngineStatus
    from ospreyford.expertmap.readcredits import ReadCredit
    from ospreyford.expertmap.weights import MemberWeights
    from ospreyford.ports.clock import Clock


class RankAcceptor:
    """Holds a member's consensus state and grants steps to its engine.

    State is consistent at every ``await``, so requests may be concurrent.

    :param slot: the member's index in the group.
    :param engine: the fenced engine.
    :param clock: source of time.
    :param next_incarnation: generates unique numbers.
    :param weights: loads and drops of the engine's weights, if managed here.
    """

    def __init__(
        self,
        slot: int,
        engine: FencedEngine,
        clock: Clock,
        next_incarnation: Callable[[], int],
        weights: MemberWeights | None = None,
    ) -> None:
        self.slot = slot
        self.incarnation = next_incarnation()
        self.engine = engine
        self.maps = MapCache()
        self.readiness = Readiness(engine, self.maps, weights)
        self.promised = NO_BALLOT
        self.released: Window | None = None
        self.last_contact_at = clock.monotonic()
        self.superseded = False
        self.generation = NO_BALLOT
        self.vote: Vote | None = None
        self._highest_step = 0
        self._clock = clock
        self._next_incarnation = next_incarnation
        self.instance = ''

    async def start(self) -> bool:
        """Halt the engine, which may hold grants of an earlier process.

        :returns: whether it halted; if not, retry.
        """
        status = await self.engine.take_over()
        if status is None:
            return False
        self.instance = status.instance
        self._highest_step = max(status.step, status.granted_step)
        return True

    async def read_status(self) -> EngineStatus | None:
        """Read the engine's progress and detect its replacement.

        :returns: its status, or ``None`` if it is unreachable.
        """
        status = await self.engine.read_status()
        if status is not None and status.instance != self.instance:
            # A new engine process has no grants or maps, so the member must
            # join as a new incarnation.
            self.instance = status.instance
            self._reset(status)
        return status

    async def retry_grants(self) -> None:
        """Resend the grants that the engine did not confirm."""
        try:
            await self.engine.send_pending()
        except Superseded:
            self.superseded = True

    async def handle_request(self, body: bytes) -> bytes | None:
        """Handle a coordinator's request.

        :param body: the encoded request.
        :returns: the encoded response; ``None`` for stale duplicates and
            malformed requests, which get no response.
        """
        request = decode_request(body)
        if request is None or self.superseded:
            return None
        try:
            response = await self._dispatch(request)
        except Superseded:
            self.superseded = True
            return None
        return None if response is None else encode(response)

    async def _dispatch(self, request: Request) -> Response | None:
        match request:
            case Prepare():
                return self._handle_prepare(request.ballot)
            case Extend():
                return await self._handle_extend(request)
            case Install():
                self._record_credit(request.credit)
                return await self.readiness.install(
                    request, self.promised, self.incarnation
                )
            case Fetch():
                return Fetched(self.maps.find(request.name))

    def _handle_prepare(self, ballot: Ballot) -> Response:
        if ballot < self.promised:
            return Refused(self.promised)
        self.promised = ballot
        self.readiness.forming = False
        # Restart the takeover timeout, so that members do not preempt a
        # coordinator that has just started.
        self.last_contact_at = self._clock.monotonic()
        return Promise(
            ballot=ballot,
            incarnation=self.incarnation,
            generation=self.generation,
            released=self.released,
            vote=self.vote,
            highest_step=self._highest_step,
            newest=self.maps.newest(),
        )

    async def _handle_extend(self, request: Extend) -> Response | None:
        refusal = self._check_extend(request)
        if refusal is None and request.generation != self.generation:
            # Halt before joining: no step of the old generation may run once
            # the new one has started on any member.
            if not await self.engine.halt(request.generation.number):
                return Busy()
            # State may have changed while the engine was halting.
            refusal = self._check_extend(request)
        if refusal is not None:
            return refusal
        if self._is_stale(request):
            return None
        self._accept(request)
        await self.engine.send_pending()
        return Accepted(
            index=request.proposed.index,
            newest=self.maps.newest(),
        )

    def _check_extend(self, request: Extend) -> Response | None:
        if request.ballot < self.promised:
            return Refused(self.promised)
        if request.generation != self.generation:
            if not self._may_join(request):
                return Refused(self.promised)
        name = request.proposed.map_name
        if not self.readiness.is_ready(name):
            held = self.maps.find(name) is not None
            return Installed(held=held, loaded=False)
        return None

    def _may_join(self, request: Extend) -> bool:
        # An earlier incarnation may have cast votes that this one lost, so
        # only incarnations that answered this ballot's Prepare may join.
        return (
            request.released is None
            and request.generation == request.ballot
            and self.slot < len(request.members)
            and request.members[self.slot] == self.incarnation
        )

    def _is_stale(self, request: Extend) -> bool:
        # A delayed duplicate must not replace a later vote.
        return (
            request.generation == self.generation
            and self.vote is not None
            and request.proposed.index < self.vote.window.index
        )

    def _accept(self, request: Extend) -> None:
        if request.generation != self.generation:
            self.generation = request.generation
            self.released = None
        chosen = request.released
        if chosen is not None and chosen != self.released:
            self.released = chosen
            self.engine.enqueue(self.generation.number, chosen)
            self.maps.drop_before(chosen.map_name)
        self.promised = request.ballot
        self.readiness.forming = False
        self.vote = Vote(ballot=request.ballot, window=request.proposed)
        self._highest_step = max(self._highest_step, request.proposed.last_step)
        self.last_contact_at = self._clock.monotonic()

    def _record_credit(self, credit: ReadCredit | None) -> None:
        # No window is proposed while weights load for minutes; a credit also
        # shows that the coordinator is alive.
        if credit is not None and credit.ballot == self.promised:
            self.last_contact_at = self._clock.monotonic()
            self.readiness.forming = credit.forming

    def _reset(self, status: EngineStatus) -> None:
        self.incarnation = self._next_incarnation()
        self.generation = NO_BALLOT
        self.released = None
        self.vote = None
        self._highest_step = max(self._highest_step, status.granted_step)
        self.readiness.reset()
