"""Periodic expert placement from load reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ospreyford.placement.budget import TokenBucket
from ospreyford.placement.explanation import PlanExplanation, explain_plan
from ospreyford.placement.map import make_initial_map
from ospreyford.placement.outcomes import Plan
from ospreyford.placement.policy import Planner
from ospreyford.placement.settings import apply_weights
from ospreyford.placement.variants import select_variant

if TYPE_CHECKING:
    from ospreyford.agent.expertloads import LoadSource
    from ospreyford.agent.rankssettings import RankSection
    from ospreyford.documents.capacity import PlacementWeights
    from ospreyford.expertmap.maps import ExpertMap, MapName
    from ospreyford.expertmap.service import RankService
    from ospreyford.placement.loads import ExpertLoads
    from ospreyford.placement.outcomes import Outcome
    from ospreyford.ports.clock import Clock

#: Burst size of the weight store's token bucket, in seconds of its rate.
STORE_BURST_SECONDS = 60


class PlacementLoop:
    """Evaluates each load report and proposes the planned maps.

    Only the leader plans: the live member with the lowest slot. If two
    members consider themselves leader, the agreement protocol selects one of
    their maps.

    :param section: the group's settings.
    :param service: the agreement protocol.
    :param source: source of expert loads.
    :param clock: source of time.
    """

    def __init__(
        self,
        section: RankSection,
        service: RankService,
        source: LoadSource,
        clock: Clock,
    ) -> None:
        self.is_leader = False
        self.last_explanation: PlanExplanation | None = None
        self._section = section
        self._service = service
        self._source = source
        self._clock = clock
        self.settings = section.placement
        self._planner = self._make_planner()
        self._pending_map: MapName | None = None
        self._pending_since: float = 0

    def apply_published_weights(
        self, published: PlacementWeights | None
    ) -> None:
        """Apply the published placement weights.

        :param published: the model's document, or ``None`` for the
            configured weights.
        """
        settings = self._section.placement
        if published is not None:
            settings = apply_weights(settings, published)
        if settings != self.settings:
            self.settings = settings
            self._planner = self._make_planner()

    def explain(self) -> PlanExplanation | None:
        """Explain the last evaluation.

        :returns: the explanation, with the time for which the planned weights
            have been loading, in seconds; ``None`` before the first one.
        """
        if self.last_explanation is None or self._pending_map is None:
            return self.last_explanation
        loading_seconds = self._clock.monotonic() - self._pending_since
        return msgspec.structs.replace(
            self.last_explanation, loading_seconds=loading_seconds
        )

    async def run(self) -> None:
        """Evaluate a report at each interval while this member leads."""
        while True:
            await self._clock.sleep(self._section.report_seconds)
            if self.is_leader:
                await self.evaluate_once()

    async def evaluate_once(self) -> None:
        """Read one report and propose the planned map, if any."""
        current = self._find_current()
        if current is None:
            self._service.propose(make_initial_map(self._section.shape))
            return
        if self._is_plan_pending(current):
            return
        report = await self._source.read()
        now = self._clock.monotonic()
        planner = self._planner
        outcome = await self._compute_plan(planner, report, current, now)
        self.last_explanation = explain_plan(planner, outcome, current)
        if isinstance(outcome, Plan):
            self._propose(outcome.target)

    async def _compute_plan(
        self,
        planner: Planner,
        report: ExpertLoads | None,
        current: ExpertMap,
        now: float,
    ) -> Outcome:
        steps = planner.plan_in_steps(report, current, now)
        while True:
            try:
                next(steps)
            except StopIteration as finished:
                outcome: Outcome = finished.value
                return outcome
            # Yield between layers to keep heartbeats and streams going.
            await self._clock.sleep(0)

    def _is_plan_pending(self, current: ExpertMap) -> bool:
        # Loading weights takes minutes. Replacing the plan meanwhile would
        # discard its loads, and no plan would ever take effect.
        newest = self._service.acceptor.maps.newest()
        if newest is None or newest <= current.name():
            self._pending_map = None
            return False
        now = self._clock.monotonic()
        if newest != self._pending_map:
            self._pending_map = newest
            self._pending_since = now
        return now - self._pending_since < self._section.patience_seconds

    def _propose(self, target: ExpertMap) -> None:
        # The group ignores maps that are not newer than the pending one.
        newest = self._service.acceptor.maps.newest()
        if newest is not None and newest.revision >= target.revision:
            target = msgspec.structs.replace(
                target, revision=newest.revision + 1
            )
        self._service.propose(target)

    def _find_current(self) -> ExpertMap | None:
        name = self._service.current
        return None if name is None else self._service.acceptor.maps.find(name)

    def _make_planner(self) -> Planner:
        rate = self.settings.store_bytes_per_second
        budget = TokenBucket(
            rate,
            rate * STORE_BURST_SECONDS,
            self._clock.monotonic(),
        )
        return Planner(
            select_variant(self.settings),
            self._section.shape,
            self.settings,
            budget,
        )
