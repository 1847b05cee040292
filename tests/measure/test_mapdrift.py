"""Replayed drift: the same at every run, and in the order that it must be."""

from __future__ import annotations

import statistics

from ospreyford.measure.demand import Demand, Scene, spread_evenly
from ospreyford.measure.mapdrift import SCENES, format_scene, run_scene
from ospreyford.measure.mapreplay import Replay

SMALL = Scene(
    name='small', seed=5, ranks=4, sets=2, experts=16, places=6, seconds=12
)


def tell_mean(one: Replay) -> float:
    return statistics.fmean(one.skews)


def test_demand_is_the_same_at_every_run() -> None:
    first, second = Demand(SMALL), Demand(SMALL)
    for at in range(5):
        assert first.draw_pass(at) == second.draw_pass(at)


def test_every_expert_is_somewhere_and_nowhere_twice() -> None:
    for scene in (SMALL, *SCENES):
        for held in spread_evenly(scene):
            assert {one for rank in held for one in rank} == set(
                range(scene.experts)
            )
            assert all(len(rank) == scene.places for rank in held)


def test_maps_at_the_pace_of_the_load_lie_between_none_and_the_best() -> None:
    none, seldom, paced, best = run_scene(SMALL)
    # The long-term placement had no turn yet.
    assert seldom.skews == none.skews
    assert tell_mean(best) < tell_mean(paced) < tell_mean(none)
    assert paced.copies > 0
    assert all(0 < age < 1 for age in paced.ages)
    page = format_scene(SMALL, (none, seldom, paced, best))
    assert page.count('\n|') == 6
