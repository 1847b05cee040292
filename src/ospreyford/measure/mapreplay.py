"""A group's passes under seeded demand, with maps that follow it or not."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field

from ospreyford.measure.demand import Demand, Scene, spread_evenly
from ospreyford.measure.mappolicies import (
    Loads,
    Policy,
    list_loads,
    plan_freely,
)
from ospreyford.rebalance.group import ExpertMap
from ospreyford.rebalance.planner import Plan
from ospreyford.rebalance.setplacement import SetPlacement

#: A pass, in seconds: so much by itself, and for each request that runs, times
#: the skew. Round figures of the size that played days showed.
PASS_SECONDS = 0.02
REQUEST_SECONDS = 0.0008
#: Copying one expert, and holding a pass for a change, in seconds; likewise.
COPY_SECONDS = 0.1
HOLD_SECONDS = 0.02
#: Passes of one window for the best map.
WINDOW_PASSES = 20


@dataclass
class Replay:
    """What a policy did in a scene.

    :param name: the policy.
    """

    name: str
    at: float = 0
    copies: int = 0
    #: End of each pass, in seconds, and its skew.
    moments: list[float] = field(default_factory=list)
    skews: list[float] = field(default_factory=list)
    #: Of the counts of each map when it was in force, in seconds.
    ages: list[float] = field(default_factory=list)

    def run_pass(self, scene: Scene, loads: Loads, experts: ExpertMap) -> None:
        """Run a pass.

        :param scene: the group.
        :param loads: what the pass chooses.
        :param experts: the map in force.
        """
        skew = tell_skew(loads, experts)
        self.at += PASS_SECONDS + REQUEST_SECONDS * scene.running * skew
        self.moments.append(self.at)
        self.skews.append(skew)

    def note_change(self, copies: int, counted_at: float) -> None:
        """Note that a map is in force.

        :param copies: experts copied for it.
        :param counted_at: when its newest counts were taken.
        """
        self.copies += copies
        self.ages.append(self.at - counted_at)


def tell_skew(loads: Loads, experts: ExpertMap) -> float:
    """Tell the most loaded rank over the mean.

    :param loads: of each set and expert.
    :param experts: the map.
    :returns: the mean of the sets.
    """
    return statistics.fmean(
        SetPlacement(of_set, held).compute_skew()
        for of_set, held in zip(loads, experts, strict=True)
    )


@dataclass
class _Change:
    """A change of maps under way."""

    plan: Plan
    planned_at: float
    in_force_at: float


def replay(scene: Scene, policy: Policy) -> Replay:
    """Replay a scene's demand under a policy.

    :param scene: the group and its demand.
    :param policy: when maps change.
    :returns: what happened.
    """
    demand = Demand(scene)
    done = Replay(policy.name)
    experts = spread_evenly(scene)
    change: _Change | None = None
    while done.at < scene.seconds:
        if change is not None and done.at >= change.in_force_at:
            experts = change.plan.experts
            done.note_change(change.plan.copies, change.planned_at)
            change = None
        chosen = demand.draw_pass(done.at)
        done.run_pass(scene, list_loads(scene, chosen), experts)
        policy.take(done.at, chosen)
        if change is None:
            change = _begin(done.at, policy.plan(done.at, experts), experts)
    return done


def find_bound(scene: Scene) -> Replay:
    """Judge each window by the best map for itself.

    :param scene: the group and its demand.
    :returns: the skew of each pass.
    """
    demand = Demand(scene)
    done = Replay('best map for the window')
    experts = spread_evenly(scene)
    while done.at < scene.seconds:
        window = [demand.draw_pass(done.at) for _ in range(WINDOW_PASSES)]
        loads = list_loads(scene, [one for each in window for one in each])
        plan = plan_freely(scene, loads, experts)
        best = experts if plan is None else plan.experts
        for chosen in window:
            done.run_pass(scene, list_loads(scene, chosen), best)
    return done


def _begin(at: float, plan: Plan | None, experts: ExpertMap) -> _Change | None:
    if plan is None:
        return None
    return _Change(plan, at, at + _tell_delay(experts, plan.experts))


def _tell_delay(before: ExpertMap, after: ExpertMap) -> float:
    """Tell how long a change takes: the rank that copies most decides."""
    new = [
        sum(
            len(set(held_after[rank]).difference(held_before[rank]))
            for held_before, held_after in zip(before, after, strict=True)
        )
        for rank in range(len(before[0]))
    ]
    return max(new) * COPY_SECONDS + HOLD_SECONDS
