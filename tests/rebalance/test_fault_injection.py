"""Injects each fault, and pairs of faults, at each step of a map change.

Guards against passes that begin with two maps, and against groups that stall.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto
from itertools import product

import pytest

from ospreyford.platform.standins.enginegroup import InconsistentMaps
from tests.rebalance.coordinators import Simulation
from tests.rebalance.fakegroup import FakeGroup

#: Steps at which faults are injected: the first two changes.
FAULT_STEPS = 60
#: Steps after the faults.
RECOVERY_STEPS = 90
#: Stride between the steps of a pair, to bound the run time.
PAIR_STRIDE_STEPS = 5
#: Steps between passes: within a change, or rarely.
PASS_INTERVALS_STEPS = (3, 17)
#: Steps after the last fault at which delayed orders are delivered.
ORDER_DELAYS_STEPS = (1, 6, 24)
NO_DISABLED_GUARDS: frozenset[str] = frozenset()


class Fault(Enum):
    """A fault injected at a step."""

    delayed = auto()
    order_lost = auto()
    answer_lost = auto()
    killed = auto()
    frozen = auto()
    replaced = auto()
    concurrent = auto()
    reopened = auto()


def inject_fault(simulation: Simulation, fault: Fault) -> None:
    """Inject a fault at the current step of the oldest coordinator."""
    tasks = simulation.list_tasks()
    match fault:
        case Fault.reopened:
            simulation.group.reopen()
        case Fault.delayed | Fault.order_lost if tasks:
            pending = len(simulation.delayed_orders)
            simulation.resume(tasks[0], 1)
            if fault is Fault.order_lost:
                simulation.delayed_orders = simulation.delayed_orders[:pending]
        case Fault.answer_lost if tasks:
            simulation.resume(tasks[0], 2)
        case Fault.frozen if tasks and not simulation.group.unreachable:
            simulation.freeze(tasks[0])
        case Fault.killed | Fault.frozen if tasks:
            simulation.kill(tasks[0])
        case Fault.replaced if tasks:
            simulation.kill(tasks[0])
            simulation.start(2)
        case _:
            simulation.start(1)


def run_step(simulation: Simulation, number: int) -> None:
    """Run one step, alternating between the coordinators."""
    tasks = simulation.list_tasks()
    if tasks:
        simulation.resume(tasks[number % len(tasks)], 0)
    else:
        simulation.start(number)


def simulate(
    faults: Mapping[int, Fault],
    pass_interval: int,
    delay: int,
    disabled_guards: frozenset[str] = NO_DISABLED_GUARDS,
    passes_ahead: int = 1,
) -> Simulation:
    """Run two changes with faults, and the recovery."""
    simulation = Simulation(
        FakeGroup(disabled_guards=disabled_guards), passes_ahead=passes_ahead
    )
    simulation.start(0)
    for number in range(FAULT_STEPS + RECOVERY_STEPS):
        fault = faults.get(number)
        if fault is None:
            run_step(simulation, number)
        else:
            inject_fault(simulation, fault)
        if number % pass_interval == 0:
            simulation.group.begin_pass()
        if number >= max(faults) + delay:
            simulation.deliver_delayed(0)
        if number == FAULT_STEPS + RECOVERY_STEPS // 2:
            simulation.thaw()
    simulation.recover()
    return simulation


def check_recovery(
    faults: Mapping[int, Fault],
    pass_interval: int,
    delay: int,
    passes_ahead: int = 1,
) -> None:
    simulation = simulate(
        faults, pass_interval, delay, passes_ahead=passes_ahead
    )
    assert all(rank.held is None for rank in simulation.group.ranks)
    assert simulation.group.begin_pass()


@pytest.mark.parametrize('delay', ORDER_DELAYS_STEPS)
@pytest.mark.parametrize('pass_interval', PASS_INTERVALS_STEPS)
@pytest.mark.parametrize('fault', Fault)
def test_each_fault_at_each_step(
    fault: Fault, pass_interval: int, delay: int
) -> None:
    for step in range(1, FAULT_STEPS):
        check_recovery({step: fault}, pass_interval, delay)


@pytest.mark.parametrize('pass_interval', PASS_INTERVALS_STEPS)
@pytest.mark.parametrize('fault', Fault)
def test_each_fault_in_a_change_ordered_ahead(
    fault: Fault, pass_interval: int
) -> None:
    for passes_ahead, step in product((2, 4), range(1, FAULT_STEPS)):
        check_recovery(
            {step: fault}, pass_interval, ORDER_DELAYS_STEPS[1], passes_ahead
        )


@pytest.mark.parametrize(
    ('first', 'second'), list(product(Fault, Fault)), ids=lambda one: one.name
)
def test_each_pair_of_faults(first: Fault, second: Fault) -> None:
    for step in range(1, FAULT_STEPS, PAIR_STRIDE_STEPS):
        for later in range(step + 1, FAULT_STEPS, PAIR_STRIDE_STEPS):
            check_recovery(
                {step: first, later: second},
                PASS_INTERVALS_STEPS[0],
                ORDER_DELAYS_STEPS[1],
            )


def test_missing_guard_is_detected() -> None:
    """Without the token guard, passes begin with two maps."""
    disabled_guards = frozenset(('token',))
    violations = 0
    for step in range(1, FAULT_STEPS, PAIR_STRIDE_STEPS):
        for later in range(step + 1, FAULT_STEPS, PAIR_STRIDE_STEPS):
            faults = {step: Fault.replaced, later: Fault.concurrent}
            try:
                simulate(
                    faults,
                    PASS_INTERVALS_STEPS[0],
                    ORDER_DELAYS_STEPS[1],
                    disabled_guards,
                )
            except InconsistentMaps:
                violations += 1
    assert violations


def test_disarmed_holder_does_not_prove_unreachable_rank_unarmed() -> None:
    """A recovery that disarms the holder and fails leaves other ranks armed.

    Taken as evidence, the disarmed holder lets a pass begin with two maps.
    """
    check_recovery({17: Fault.killed, 22: Fault.frozen}, 17, 13)


def count_holds_after(step: int, pass_interval: int, passes_ahead: int) -> int:
    """Stop the coordinator at a step, and count the passes held later."""
    simulation = Simulation(FakeGroup(), passes_ahead=passes_ahead)
    simulation.start(0)
    number = 0
    holds = 0
    while simulation.list_tasks():
        number += 1
        if number == step:
            for one in simulation.coordinators.values():
                one.is_leaving = True
        before = {rank.held for rank in simulation.group.ranks}
        simulation.resume(simulation.list_tasks()[0], 0)
        after = {rank.held for rank in simulation.group.ranks}
        holds += number >= step and bool(after - before - {None})
        if number % pass_interval == 0:
            simulation.group.begin_pass()
    assert all(rank.held is None for rank in simulation.group.ranks)
    return holds


@pytest.mark.parametrize('pass_interval', PASS_INTERVALS_STEPS)
@pytest.mark.parametrize('passes_ahead', [1, 2, 4])
def test_stopping_coordinator_starts_no_change(
    pass_interval: int, passes_ahead: int
) -> None:
    """A stopping coordinator leaves no pass held.

    One hold that is already in flight may still be accepted.
    """
    for step in range(2, FAULT_STEPS):
        assert count_holds_after(step, pass_interval, passes_ahead) <= 1
