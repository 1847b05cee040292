from __future__ import annotations

import math

import pytest

from ospreyford.expertmap.maps import ExpertMap
from ospreyford.placement.loads import ExpertLoads
from ospreyford.placement.map import make_initial_map
from ospreyford.placement.outcomes import NoChange, Plan
from ospreyford.placement.reasons import (
    MapInvalid,
    Reason,
    ReportBad,
    ReportFault,
    ReportMissing,
    ReportOld,
    ReportPartial,
    ReportRepeated,
    TooSoon,
    TrafficLow,
    WarmingUp,
)
from ospreyford.placement.settings import PlacementSettings
from ospreyford.placement.variants import BalanceAlways, CostAware
from tests.placement.factories import (
    SHAPE,
    SKEWED,
    make_planner,
    make_report,
)

NOW = 1000.0
BAD_FIRST = (math.nan, *SKEWED[1:])


@pytest.mark.parametrize('variant', [CostAware(), BalanceAlways()])
@pytest.mark.parametrize(
    ('report', 'reason'),
    [
        (None, ReportMissing()),
        (make_report(NOW, BAD_FIRST), ReportBad(ReportFault.not_finite)),
        (
            make_report(NOW, (math.inf, *SKEWED[1:])),
            ReportBad(ReportFault.not_finite),
        ),
        (
            make_report(NOW, (-1.0, *SKEWED[1:])),
            ReportBad(ReportFault.negative),
        ),
        (make_report(NOW, SKEWED[1:]), ReportBad(ReportFault.wrong_shape)),
        (
            make_report(NOW, tokens=(SKEWED,)),
            ReportBad(ReportFault.wrong_shape),
        ),
        (make_report(NOW, tokens=()), ReportBad(ReportFault.wrong_shape)),
        (
            make_report(NOW + 1),
            ReportBad(ReportFault.wrong_clock),
        ),
        (
            make_report(NOW, age_seconds=-1),
            ReportBad(ReportFault.wrong_clock),
        ),
        (
            make_report(NOW, age_seconds=math.nan),
            ReportBad(ReportFault.not_finite),
        ),
        (make_report(NOW, ranks=3), ReportPartial(3, 4)),
        (make_report(NOW, age_seconds=91), ReportOld(91, 90)),
        (make_report(NOW - 91), ReportOld(91, 90)),
        (make_report(NOW, (0.0,) * 8), TrafficLow(0, 10)),
    ],
)
def test_unusable_report_moves_nothing(
    variant: CostAware | BalanceAlways,
    report: ExpertLoads | None,
    reason: Reason,
) -> None:
    """Guards against planning by invalid, partial, late or missing reports."""
    planner = make_planner(variant)
    outcome = planner.plan(report, make_initial_map(SHAPE), NOW)
    assert outcome == NoChange(reason)
    # A valid report yields a plan, so the assertion above can fail.
    good = planner.plan(make_report(NOW), make_initial_map(SHAPE), NOW)
    assert isinstance(good, Plan)


def test_repeated_report_counts_once() -> None:
    """Guards against counting a duplicate report as a second window."""
    planner = make_planner()
    current = make_initial_map(SHAPE)
    planner.plan(make_report(NOW), current, NOW)
    late = make_report(NOW + 30, age_seconds=30)
    assert planner.plan(late, current, NOW + 30) == NoChange(ReportRepeated())


def test_gap_in_reports_restarts_warm_up() -> None:
    """Guards against planning by the single report that follows a gap."""
    weights = PlacementSettings(
        skew_weight=4,
        move_weight=1,
        store_bytes_per_second=100,
        slots_per_rank=4,
        min_reports=2,
        min_tokens=10,
        plan_interval_seconds=0,
    )
    planner = make_planner(weights=weights)
    current = make_initial_map(SHAPE)
    even = (5.0,) * SHAPE.experts
    first = planner.plan(make_report(0, even), current, 0)
    assert first == NoChange(WarmingUp(1, 2))
    planner.plan(make_report(60, even), current, 60)
    after_gap = planner.plan(make_report(660), current, 660)
    assert after_gap == NoChange(WarmingUp(1, 2))
    assert isinstance(planner.plan(make_report(720), current, 720), Plan)


@pytest.mark.parametrize(
    'layer',
    [
        ((), *[(0,)] * 3, *[(1,)] * 4),
        ((4,), *[(0,)] * 3, *[(1,)] * 4),
        ((-1,), *[(0,)] * 3, *[(1,)] * 4),
        ((0, 0), *[(1,)] * 3, *[(2,)] * 4),
        ((0,),) * 8,
        ((0,),) * 3,
    ],
)
def test_invalid_map_is_left_alone(
    layer: tuple[tuple[int, ...], ...],
) -> None:
    """Guards against planning from a map that does not fit the group."""
    current = ExpertMap(revision=3, layers=(layer, layer))
    outcome = make_planner().plan(make_report(NOW), current, NOW)
    assert outcome == NoChange(MapInvalid())


def test_plan_interval_is_kept() -> None:
    weights = PlacementSettings(
        skew_weight=4,
        move_weight=1,
        store_bytes_per_second=100,
        slots_per_rank=4,
        max_moves=2,
        min_reports=1,
        min_tokens=10,
    )
    planner = make_planner(weights=weights)
    current = make_initial_map(SHAPE)
    first = planner.plan(make_report(NOW), current, NOW)
    assert isinstance(first, Plan)
    soon = planner.plan(make_report(NOW + 60), first.target, NOW + 60)
    assert soon == NoChange(TooSoon(240))
