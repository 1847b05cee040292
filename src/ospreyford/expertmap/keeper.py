"""One member of a rank group: what it promised, accepted and granted."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ospreyford.expertmap.errors import Superseded
from ospreyford.expertmap.maps import MapShelf
from ospreyford.expertmap.messages import (
    Accepted,
    Answer,
    Busy,
    Extend,
    Fetch,
    Fetched,
    Install,
    Installed,
    Prepare,
    Promise,
    Question,
    Refused,
    decode_question,
    encode,
)
from ospreyford.expertmap.readiness import Readiness
from ospreyford.expertmap.windows import NO_BALLOT, Ballot, Vote, Window

if TYPE_CHECKING:
    from ospreyford.expertmap.gate import EngineGate
    from ospreyford.expertmap.leaves import Leave
    from ospreyford.expertmap.ports import EngineStatus
    from ospreyford.expertmap.weights import MemberWeights
    from ospreyford.ports.clock import Clock


class RankKeeper:
    """Holds a member's part of the agreement and guards its engine.

    Between two awaits the state is changed as a whole, so that several
    questions may be under way at once.

    :param slot: the member's place in the group.
    :param gate: the way to the engine.
    :param clock: source of time.
    :param draw_incarnation: gives a number never given before.
    :param weights: loads and drops of the engine's weights, if ordered here.
    """

    def __init__(
        self,
        slot: int,
        gate: EngineGate,
        clock: Clock,
        draw_incarnation: Callable[[], int],
        weights: MemberWeights | None = None,
    ) -> None:
        self.slot = slot
        self.incarnation = draw_incarnation()
        self.gate = gate
        self.maps = MapShelf()
        self.readiness = Readiness(gate, self.maps, weights)
        self.promised = NO_BALLOT
        self.released: Window | None = None
        self.heard_at = clock.monotonic()
        self.superseded = False
        self.generation = NO_BALLOT
        self.vote: Vote | None = None
        self._floor = 0
        self._clock = clock
        self._draw_incarnation = draw_incarnation
        self.instance = ''

    async def start(self) -> bool:
        """Halt the engine; nothing is known of what it was granted before.

        :returns: whether it stands; if not, ask again.
        """
        status = await self.gate.take_over()
        if status is None:
            return False
        self.instance = status.instance
        self._floor = max(status.step, status.granted_step)
        return True

    async def read_status(self) -> EngineStatus | None:
        """Read the engine's progress and notice that it was replaced.

        :returns: its status, or ``None`` if it can't be reached.
        """
        status = await self.gate.read_status()
        if status is not None and status.instance != self.instance:
            # A replaced engine process has lost its grants and maps, and the
            # collective with the other ranks' engines: for the group that is
            # a member without memory, so this one becomes a new incarnation.
            self.instance = status.instance
            self._forget(status)
        return status

    async def retry_grants(self) -> None:
        """Send again what the engine didn't confirm."""
        try:
            await self.gate.drive()
        except Superseded:
            self.superseded = True

    async def answer(self, body: bytes) -> bytes | None:
        """Answer a question of a coordinator.

        :param body: the encoded question.
        :returns: the encoded answer; ``None`` for silence, which is right for
            late duplicates and for anything malformed.
        """
        question = decode_question(body)
        if question is None or self.superseded:
            return None
        try:
            answer = await self._answer(question)
        except Superseded:
            self.superseded = True
            return None
        return None if answer is None else encode(answer)

    async def _answer(self, question: Question) -> Answer | None:
        match question:
            case Prepare():
                return self._prepare(question.ballot)
            case Extend():
                return await self._extend(question)
            case Install():
                self._note_leave(question.leave)
                return await self.readiness.install(
                    question, self.promised, self.incarnation
                )
            case Fetch():
                return Fetched(self.maps.find(question.name))

    def _prepare(self, ballot: Ballot) -> Answer:
        if ballot < self.promised:
            return Refused(self.promised)
        self.promised = ballot
        self.readiness.forming = False
        # The others give a new coordinator the time to finish, or as many
        # members as the group has would outbid one another.
        self.heard_at = self._clock.monotonic()
        return Promise(
            ballot=ballot,
            incarnation=self.incarnation,
            generation=self.generation,
            released=self.released,
            vote=self.vote,
            floor=self._floor,
            newest=self.maps.newest(),
        )

    async def _extend(self, question: Extend) -> Answer | None:
        refusal = self._refuse(question)
        if refusal is None and question.generation != self.generation:
            # Each survivor gives up the old generation before the new one
            # can be complete: no step of the old one runs after the new one
            # has begun anywhere.
            if not await self.gate.halt(question.generation.number):
                return Busy()
            # The engine may have been slow to halt: what was true before
            # need not be true now.
            refusal = self._refuse(question)
        if refusal is not None:
            return refusal
        if self._is_past(question):
            return None
        self._accept(question)
        await self.gate.drive()
        return Accepted(
            index=question.proposed.index,
            newest=self.maps.newest(),
        )

    def _refuse(self, question: Extend) -> Answer | None:
        if question.ballot < self.promised:
            return Refused(self.promised)
        if question.generation != self.generation:
            if not self._may_join(question):
                return Refused(self.promised)
        name = question.proposed.map_name
        if not self.readiness.is_ready(name):
            held = self.maps.find(name) is not None
            return Installed(held=held, loaded=False)
        return None

    def _may_join(self, question: Extend) -> bool:
        # A member that lost its memory may have accepted, in its earlier
        # life, what it doesn't know now. Only an incarnation that answered
        # this very coordinator's question may be counted as a member.
        return (
            question.released is None
            and question.generation == question.ballot
            and self.slot < len(question.members)
            and question.members[self.slot] == self.incarnation
        )

    def _is_past(self, question: Extend) -> bool:
        # A duplicate that arrives late must not replace a later vote.
        return (
            question.generation == self.generation
            and self.vote is not None
            and question.proposed.index < self.vote.window.index
        )

    def _accept(self, question: Extend) -> None:
        if question.generation != self.generation:
            self.generation = question.generation
            self.released = None
        chosen = question.released
        if chosen is not None and chosen != self.released:
            self.released = chosen
            self.gate.enqueue(self.generation.number, chosen)
            self.maps.drop_before(chosen.map_name)
        self.promised = question.ballot
        self.readiness.forming = False
        self.vote = Vote(ballot=question.ballot, window=question.proposed)
        self._floor = max(self._floor, question.proposed.last_step)
        self.heard_at = self._clock.monotonic()

    def _note_leave(self, leave: Leave | None) -> None:
        # Weights take minutes, and nothing is proposed meanwhile. Members
        # that took this for silence would outbid one another for ever, and
        # each new coordinator starts with an empty share of the store.
        if leave is not None and leave.ballot == self.promised:
            self.heard_at = self._clock.monotonic()
            self.readiness.forming = leave.forming

    def _forget(self, status: EngineStatus) -> None:
        self.incarnation = self._draw_incarnation()
        self.generation = NO_BALLOT
        self.released = None
        self.vote = None
        self._floor = max(self._floor, status.granted_step)
        self.readiness.forget()
