"""Simulation of a group and its coordinators with a manual scheduler."""

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
from ospreyford.rebalance.holdscheduler import HoldScheduler
from ospreyford.rebalance.participant import RankParticipant
from ospreyford.rebalance.ports import Reply
from ospreyford.rebalance.versions import FENCE_AUTHOR, encode_version
from tests.fakes.clock import FakeClock
from tests.fakes.stepping import SteppedTask, Stepper, Waiting, park
from tests.rebalance.fakegroup import FakeGroup

MAPS: Sequence[ExpertMap] = (
    (((0, 1), (1,), (2,)),),
    (((0,), (1, 2), (2,)),),
    (((0,), (1,), (2, 0)),),
)


@dataclass
class ParkedEngine:
    """Engine port whose calls block until the test resumes them."""

    group: FakeGroup
    rank: int

    async def read_state(self) -> RankState | None:
        state: RankState | None = await park('state', self.rank)
        return state

    async def read_counts(self) -> tuple[int, ...] | None:
        return ()

    async def read_experts(self) -> RankExperts | None:
        return ()

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        reply: Reply = await park('order', (self.rank, order, guard))
        return reply


@dataclass
class FakeRanks:
    """Ranks as last read by one coordinator."""

    group: FakeGroup
    clock: FakeClock
    own_rank: int
    states: dict[int, RankState] = field(default_factory=dict)

    def read_states(self) -> Mapping[int, RankState]:
        return self.states

    def refresh(self) -> Group:
        self.states = {
            rank: self.group.read_state(rank)
            for rank in range(self.group.size)
            if rank not in self.group.unreachable
        }
        ranks = tuple(self.states)
        unreachable = sorted(self.group.unreachable)
        return Group(
            self.group.epoch, ranks, unreachable[0] if unreachable else None
        )

    async def wait_for_pass(self, seconds: float) -> RankState | None:
        return self.states.get(self.own_rank)

    def select_holder(self, ranks: Sequence[int]) -> int:
        others = [rank for rank in ranks if rank != self.own_rank]
        return others[0] if others else self.own_rank

    async def broadcast(self, order: Prepare, term: Term) -> None:
        """Do nothing; the orders follow one by one."""

    async def carry_out(self, rank: int, order: Order, term: Term) -> Outcome:
        member = RankParticipant(ParkedEngine(self.group, rank), self.clock)
        outcome = await member.carry_out(order, term)
        state = getattr(outcome, 'state', None)
        if state is not None:
            self.states[rank] = state
        return outcome


async def run_sequentially(
    coroutines: Sequence[Coroutine[Any, Any, Outcome]],
) -> Sequence[Outcome]:
    waiting = list(coroutines)
    outcomes = []
    try:
        while waiting:
            outcomes.append(await waiting.pop(0))
    finally:
        for coroutine in waiting:
            coroutine.close()
    return outcomes


@dataclass
class Simulation:
    """A group, its coordinators and the orders in flight."""

    group: FakeGroup = field(default_factory=FakeGroup)
    stepper: Stepper = field(default_factory=Stepper)
    clock: FakeClock = field(default_factory=FakeClock)
    delayed_orders: list[tuple[int, Order, Guard]] = field(default_factory=list)
    token: int = 0
    version: int = 0
    own_ranks: dict[str, int] = field(default_factory=dict)
    coordinators: dict[str, Coordinator] = field(default_factory=dict)
    passes_ahead: int = 1

    def start(self, seed: int) -> None:
        """Start another coordinator with a higher token."""
        self.token += 1
        self.stepper.spawn(
            f'coordinator {self.token}', self._coordinate(self.token, seed)
        )

    async def _coordinate(self, token: int, seed: int) -> bool:
        own_rank = seed % self.group.size
        ranks = FakeRanks(self.group, self.clock, own_rank)
        self.own_ranks[f'coordinator {token}'] = own_rank
        scheduler = HoldScheduler()
        scheduler.pass_seconds = 1
        scheduler.record_arming(self.passes_ahead - 1)
        coordinator = Coordinator(
            own_rank, token, ranks, run_sequentially, self.clock, scheduler
        )
        self.coordinators[f'coordinator {token}'] = coordinator
        for turn in range(4):
            group = ranks.refresh()
            experts = MAPS[(seed + turn) % len(MAPS)]
            self.version += 1
            version = encode_version(self.version, own_rank)
            states = ranks.states.values()
            if any(one.held is not None or one.armed for one in states):
                current = self.group.ranks[0].experts
                fence = encode_version(self.version, FENCE_AUTHOR)
                await coordinator.settle(group, fence, current)
            elif group.missing_rank is None:
                await coordinator.change(group, version, experts)
            if coordinator.is_fenced:
                return False
        return True

    def list_tasks(self) -> list[SteppedTask]:
        return list(self.stepper.tasks)

    def resume(self, task: SteppedTask, delivery_fault: int) -> None:
        """Answer a parked call, with or without a delivery fault."""
        waiting = task.waiting
        assert waiting is not None
        match waiting:
            case Waiting('state', int(rank)):
                lost = delivery_fault == 1 or self._is_out_of_reach(task, rank)
                self.stepper.resume(
                    task, None if lost else self.group.read_state(rank)
                )
            case Waiting('order', (rank, order, guard)):
                self._deliver_order(task, (rank, order, guard), delivery_fault)
            case _:
                self.stepper.resume(task)

    def _deliver_order(
        self,
        task: SteppedTask,
        delivery: tuple[int, Order, Guard],
        delivery_fault: int,
    ) -> None:
        if self._is_out_of_reach(task, delivery[0]):
            self.stepper.resume(task, Reply.no_answer)
            return
        if delivery_fault == 1:
            self.delayed_orders.append(delivery)
            self.stepper.resume(task, Reply.no_answer)
            return
        reply = self.group.execute(*delivery)
        self.stepper.resume(
            task, Reply.no_answer if delivery_fault == 2 else reply
        )

    def deliver_delayed(self, number: int) -> None:
        """Deliver a delayed order."""
        if self.delayed_orders:
            self.group.execute(
                *self.delayed_orders.pop(number % len(self.delayed_orders))
            )

    def _is_out_of_reach(self, task: SteppedTask, rank: int) -> bool:
        return rank in self.group.unreachable

    def freeze(self, task: SteppedTask) -> None:
        """Stop a coordinator, and make the rank on its host unreachable."""
        self.group.unreachable = {self.own_ranks[task.name]}
        self.kill(task)

    def thaw(self) -> None:
        """Make the unreachable rank reachable again."""
        self.group.unreachable = set()

    def kill(self, task: SteppedTask) -> None:
        """Stop a coordinator at its current step."""
        self.stepper.kill(task)

    def recover(self) -> None:
        """Replace all coordinators by a new one, and run it to its end."""
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
