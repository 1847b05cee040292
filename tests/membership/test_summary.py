"""Cached member list and counts."""

from __future__ import annotations

import random
from typing import Any

import pytest

from ospreyford.membership.member import Condition, MemberState, Version
from ospreyford.membership.summary import MembershipSummary
from ospreyford.node.reporter import FleetReporter
from ospreyford.observability.metrics import Metrics
from tests.membership.test_membership import start_fleet
from tests.membership.test_parts import ManualClock, make_context, make_member

REACHABLE_STATES = frozenset((MemberState.live, MemberState.suspect))


@pytest.mark.parametrize('seed', range(5))
def test_summary_is_current_and_cached(seed: int) -> None:
    """Cached lists must follow the view and be reused while it is unchanged."""
    rng = random.Random(seed)
    context = make_context(ManualClock(), 5)
    view = context.view
    summary = MembershipSummary(view)
    for _ in range(60):
        name = f'h{rng.randrange(8)}'
        record = view.find(name)
        if record is not None and rng.randrange(5) == 0:
            view.forget(record)
        else:
            condition = rng.choice(list(Condition))
            version = Version('1', rng.randrange(5) == 0, 0, condition)
            view.merge(name, version, make_member(name))
        reachable, counts = summary.list_reachable(), summary.count_by_state()
        assert reachable == tuple(
            each.member for each in view if each.state in REACHABLE_STATES
        )
        assert counts == {
            state: sum(each.state is state for each in view)
            for state in MemberState
        }
        assert summary.list_reachable() is reachable
        assert summary.count_by_state() is counts


def test_metrics_count_members_in_each_state() -> None:
    """The gauge must also count leaving and dead members."""
    world, processes = start_fleet('aaaaa')
    world.kill(processes[0])
    leaving = processes[1]
    leaving.stepper.spawn('leave', leaving.membership.leave())
    world.run(60)
    metrics = Metrics()
    changes: Any = None
    FleetReporter(changes, metrics).record_member_counts(
        processes[2].membership
    )
    shown = {
        state: metrics.registry.get_sample_value(
            'ospreyford_members', {'state': state.value}
        )
        for state in MemberState
    }
    assert shown == {
        MemberState.live: 3,
        MemberState.suspect: 0,
        MemberState.leaving: 1,
        MemberState.dead: 1,
    }
