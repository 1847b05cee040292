from __future__ import annotations

import msgspec
import pytest

from ospreyford.placement.explanation import PlanExplanation, explain_plan
from ospreyford.placement.map import make_initial_map
from ospreyford.placement.outcomes import Plan
from tests.placement.factories import SHAPE, make_planner, make_report


def test_plan_is_explained_by_its_own_figures() -> None:
    planner = make_planner()
    current = make_initial_map(SHAPE)
    outcome = planner.plan(make_report(1000), current, 1000)
    assert isinstance(outcome, Plan)
    explained = explain_plan(planner, outcome, current)
    first = explained.layers[0]
    # Rank 0 holds 14 of 20 tokens, the mean rank 5.
    assert first.peak_before == pytest.approx(14 / 5)
    assert first.peak_after < first.peak_before / 2
    assert explained.saved_seconds == pytest.approx(outcome.saved_seconds)
    assert explained.copy_seconds == pytest.approx(len(outcome.copies))
    moved = [copy for layer in explained.layers for copy in layer.copies]
    assert sorted(moved, key=str) == sorted(outcome.copies, key=str)
    assert explained.weighted_saving > explained.weighted_cost


def test_no_change_is_explained_and_survives_json() -> None:
    planner = make_planner()
    current = make_initial_map(SHAPE)
    outcome = planner.plan(make_report(0), current, 500)
    explained = explain_plan(planner, outcome, current)
    assert explained.reason
    assert explained.reason.kind == 'ReportOld'
    assert explained.reason.figures == {
        'age_seconds': 500,
        'limit_seconds': 90,
    }
    encoded = msgspec.json.encode(explained)
    assert msgspec.json.decode(encoded, type=PlanExplanation) == explained
