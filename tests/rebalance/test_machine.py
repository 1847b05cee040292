"""Property-based test: no pass begins with two maps under any faults."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from ospreyford.platform.standins.enginegroup import InconsistentMaps
from tests.rebalance.coordinators import Simulation
from tests.rebalance.fakegroup import FakeGroup

#: 0: answered; 1: unanswered and delivered late; 2: delivered, reply lost.
DELIVERY_FAULTS = st.sampled_from((0, 0, 0, 0, 1, 2))
CHOICE = st.integers(0, 30)


def has_tasks(machine: ChangeMachine) -> bool:
    return bool(machine.simulation.list_tasks())


class ChangeMachine(RuleBasedStateMachine):
    """Coordinators, passes and faults in arbitrary order."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation()

    @rule(kind=CHOICE)
    def start_coordinator(self, kind: int) -> None:
        if len(self.simulation.list_tasks()) < 3:
            self.simulation.start(kind)

    @precondition(has_tasks)
    @rule(choice=CHOICE, delivery_fault=DELIVERY_FAULTS)
    def step(self, choice: int, delivery_fault: int) -> None:
        tasks = self.simulation.list_tasks()
        self.simulation.resume(tasks[choice % len(tasks)], delivery_fault)

    @precondition(has_tasks)
    @rule(choice=CHOICE, count=st.integers(5, 40))
    def run_without_faults(self, choice: int, count: int) -> None:
        for _ in range(count):
            tasks = self.simulation.list_tasks()
            if tasks:
                self.simulation.resume(tasks[choice % len(tasks)], 0)

    @rule()
    def begin_pass(self) -> None:
        self.simulation.group.begin_pass()

    @rule(choice=CHOICE)
    def deliver_delayed(self, choice: int) -> None:
        self.simulation.deliver_delayed(choice)

    @precondition(has_tasks)
    @rule(choice=CHOICE)
    def kill_coordinator(self, choice: int) -> None:
        tasks = self.simulation.list_tasks()
        self.simulation.kill(tasks[choice % len(tasks)])

    @precondition(has_tasks)
    @rule(choice=CHOICE)
    def freeze_coordinator(self, choice: int) -> None:
        tasks = self.simulation.list_tasks()
        if len(tasks) == 1 and not self.simulation.group.unreachable:
            self.simulation.freeze(tasks[choice % len(tasks)])

    @rule()
    def thaw_host(self) -> None:
        self.simulation.thaw()

    @rule()
    def lose_rank(self) -> None:
        self.simulation.group.reopen()

    def teardown(self) -> None:
        """The group makes progress again under a single new coordinator."""
        self.simulation.recover()
        assert all(rank.held is None for rank in self.simulation.group.ranks)
        assert self.simulation.group.begin_pass()


def test_no_pass_begins_with_two_maps() -> None:
    run_state_machine_as_test(
        ChangeMachine,
        settings=settings(
            max_examples=120,
            stateful_step_count=60,
            derandomize=True,
            deadline=None,
        ),
    )


#: Weights of pass, delayed order, kill, new epoch, freeze, thaw and step.
WEIGHTS = (20, 12, 1, 1, 1, 1, 166)


def random_walk(simulation: Simulation, random: Random, steps: int) -> None:
    """Take random steps with faults."""
    for _ in range(steps):
        tasks = simulation.list_tasks()
        if not tasks or (len(tasks) < 2 and random.randrange(33) == 0):
            simulation.start(random.randrange(30))
            continue
        match random.choices(range(7), WEIGHTS)[0]:
            case 0:
                simulation.group.begin_pass()
            case 1:
                simulation.deliver_delayed(random.randrange(30))
            case 2:
                simulation.kill(random.choice(tasks))
            case 3:
                simulation.group.reopen()
            case 4:
                if len(tasks) == 1 and not simulation.group.unreachable:
                    simulation.freeze(tasks[0])
            case 5:
                simulation.thaw()
            case _:
                delivery_fault = random.choices((0, 1, 2), (12, 1, 1))[0]
                simulation.resume(random.choice(tasks), delivery_fault)


def count_violations(
    disabled_guards: frozenset[str], walks: int, passes_ahead: int = 1
) -> int:
    """Count the walks in which a pass begins with two maps."""
    violations = 0
    for seed in range(walks):
        simulation = Simulation(
            FakeGroup(disabled_guards=disabled_guards),
            passes_ahead=passes_ahead,
        )
        try:
            random_walk(simulation, Random(seed), 500)
        except InconsistentMaps:
            violations += 1
        finally:
            for task in simulation.list_tasks():
                simulation.kill(task)
    return violations


@pytest.mark.parametrize(
    ('disabled_guards', 'breaks'),
    [
        ((), False),
        (('sequence',), True),
        (('token',), True),
    ],
    ids=('all', 'no-sequence', 'no-token'),
)
def test_each_guard_is_needed(
    disabled_guards: frozenset[str], *, breaks: bool
) -> None:
    """No walk violates consistency unless a guard is disabled."""
    assert (count_violations(frozenset(disabled_guards), 400) > 0) is breaks


@pytest.mark.parametrize('passes_ahead', [2, 3, 4])
def test_a_change_may_be_ordered_passes_ahead(passes_ahead: int) -> None:
    """Passes between the hold and the switch do not break consistency."""
    assert not count_violations(frozenset(), 400, passes_ahead)


@pytest.mark.parametrize('steps', range(6, 60))
def test_frozen_host_does_not_stall_its_group(steps: int) -> None:
    """A successor releases the pass, unless all other ranks are armed.

    In that case only the frozen host knows whether its own rank is armed.
    """
    simulation = Simulation(FakeGroup())
    simulation.start(0)
    for _ in range(steps):
        simulation.resume(simulation.list_tasks()[0], 0)
    simulation.freeze(simulation.list_tasks()[0])
    others = simulation.group.ranks[1:]
    are_armed = all(rank.armed is not None for rank in others)
    simulation.start(1)
    for _ in range(400):
        tasks = simulation.list_tasks()
        if tasks:
            simulation.resume(tasks[0], 0)
    assert are_armed or simulation.group.begin_pass()
