"""Coordinators of a fake group under a hand-driven scheduler."""

from __future__ import annotations

from collections.abc import Coroutine, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from ospreyford.rebalance.coordinator import Coordinator, Group
from ospreyford.rebalance.group import (
    ExpertMap,
    Guard,
    Order,
    Outcome,
    Prepare,
    RankExperts,
    RankState,
    Term,
)
from ospreyford.rebalance.member import RankMember
from ospreyford.rebalance.ports import Reply
from ospreyford.rebalance.tempo import Tempo
from ospreyford.rebalance.versions import NOBODY, make_version
from tests.fakes.clock import FakeClock
from tests.fakes.stepping import SteppedTask, Stepper, Waiting, park
from tests.rebalance.fakegroup import FakeGroup

MAPS: Sequence[ExpertMap] = (
    (((0, 1), (1,), (2,)),),
    (((0,), (1, 2), (2,)),),
    (((0,), (1,), (2, 0)),),
)


@dataclass
class Engine:
    """A rank as its agent reaches it; each call waits for the test."""

    group: FakeGroup
    rank: int

    async def read_state(self) -> RankState | None:
        state: RankState | None = await park('state', self.rank)
        return state

    async def read_counts(self) -> tuple[int, ...] | None:
        return ()

    async def read_experts(self) -> RankExperts | None:
        return ()

    async def give(self, order: Order, guard: Guard) -> Reply:
        reply: Reply = await park('order', (self.rank, order, guard))
        return reply


@dataclass
class Ranks:
    """The ranks as one coordinator sees them: as of its last look."""

    group: FakeGroup
    clock: FakeClock
    me: int
    seen: dict[int, RankState] = field(default_factory=dict)

    def read_states(self) -> Mapping[int, RankState]:
        return self.seen

    def look(self) -> Group:
        self.seen = {
            rank: self.group.show(rank)
            for rank in range(self.group.size)
            if rank not in self.group.unreachable
        }
        ranks = tuple(self.seen)
        gone = sorted(self.group.unreachable)
        return Group(self.group.epoch, ranks, gone[0] if gone else None)

    async def watch_pass(self, seconds: float) -> RankState | None:
        return self.seen.get(self.me)

    def choose_holder(self, ranks: Sequence[int]) -> int:
        others = [rank for rank in ranks if rank != self.me]
        return others[0] if others else self.me

    async def spread(self, order: Prepare, term: Term) -> None:
        """Send nothing ahead."""

    async def carry_out(self, rank: int, order: Order, term: Term) -> Outcome:
        member = RankMember(Engine(self.group, rank), self.clock)
        outcome = await member.carry_out(order, term)
        state = getattr(outcome, 'state', None)
        if state is not None:
            self.seen[rank] = state
        return outcome


async def run_in_turn(
    parts: Sequence[Coroutine[Any, Any, Outcome]],
) -> Sequence[Outcome]:
    waiting = list(parts)
    outcomes = []
    try:
        while waiting:
            outcomes.append(await waiting.pop(0))
    finally:
        for part in waiting:
            part.close()
    return outcomes


@dataclass
class World:
    """A group, its coordinators and what is under way between them."""

    group: FakeGroup = field(default_factory=FakeGroup)
    stepper: Stepper = field(default_factory=Stepper)
    clock: FakeClock = field(default_factory=FakeClock)
    late: list[tuple[int, Order, Guard]] = field(default_factory=list)
    token: int = 0
    version: int = 0
    homes: dict[str, int] = field(default_factory=dict)
    coordinators: dict[str, Coordinator] = field(default_factory=dict)
    #: Passes ahead of the one under way that a change is held.
    ahead: int = 1

    def start(self, kind: int) -> None:
        """Have another agent believe that it coordinates."""
        self.token += 1
        self.stepper.spawn(
            f'coordinator {self.token}', self._coordinate(self.token, kind)
        )

    async def _coordinate(self, token: int, kind: int) -> bool:
        me = kind % self.group.size
        ranks = Ranks(self.group, self.clock, me)
        self.homes[f'coordinator {token}'] = me
        tempo = Tempo()
        tempo.pass_seconds = 1
        tempo.note_arming(self.ahead - 1)
        coordinator = Coordinator(
            me, token, ranks, run_in_turn, self.clock, tempo
        )
        self.coordinators[f'coordinator {token}'] = coordinator
        for turn in range(4):
            group = ranks.look()
            experts = MAPS[(kind + turn) % len(MAPS)]
            self.version += 1
            version = make_version(self.version, me)
            states = ranks.seen.values()
            if any(one.held is not None or one.armed for one in states):
                current = self.group.ranks[0].experts
                fence = make_version(self.version, NOBODY)
                await coordinator.settle(group, fence, current)
            elif group.missing is None:
                await coordinator.change(group, version, experts)
            if coordinator.is_fenced:
                return False
        return True

    def list_tasks(self) -> list[SteppedTask]:
        return list(self.stepper.tasks)

    def resume(self, task: SteppedTask, fate: int) -> None:
        """Answer what a task waits for, well or badly."""
        waiting = task.waiting
        assert waiting is not None
        match waiting:
            case Waiting('state', int(rank)):
                lost = fate == 1 or self._is_out_of_reach(task, rank)
                self.stepper.resume(
                    task, None if lost else self.group.show(rank)
                )
            case Waiting('order', (rank, order, guard)):
                self._give(task, (rank, order, guard), fate)
            case _:
                self.stepper.resume(task)

    def _give(
        self, task: SteppedTask, what: tuple[int, Order, Guard], fate: int
    ) -> None:
        if self._is_out_of_reach(task, what[0]):
            self.stepper.resume(task, Reply.none)
            return
        if fate == 1:
            self.late.append(what)
            self.stepper.resume(task, Reply.none)
            return
        reply = self.group.take(*what)
        self.stepper.resume(task, Reply.none if fate == 2 else reply)

    def arrive(self, number: int) -> None:
        """Have a late order carried out."""
        if self.late:
            self.group.take(*self.late.pop(number % len(self.late)))

    def _is_out_of_reach(self, task: SteppedTask, rank: int) -> bool:
        return rank in self.group.unreachable

    def freeze(self, task: SteppedTask) -> None:
        """End a coordinator, and take the rank beside it out of reach."""
        self.group.unreachable = {self.homes[task.name]}
        self.kill(task)

    def thaw(self) -> None:
        """Have the rank out of reach answer again."""
        self.group.unreachable = set()

    def kill(self, task: SteppedTask) -> None:
        """End a coordinator where it stands."""
        self.stepper.kill(task)

    def calm_down(self) -> None:
        """Leave one new coordinator alone with the group."""
        self.thaw()
        for task in self.list_tasks():
            self.kill(task)
        self.start(0)
        for _ in range(4000):
            tasks = self.list_tasks()
            if not tasks:
                break
            self.resume(tasks[0], 0)
            self.group.begin_pass()
