"""Control loop of a coordinator: plans and applies map changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.coordinator import Change, Coordinator, Group
from ospreyford.rebalance.decisions import GroupSettled, MapChanged
from ospreyford.rebalance.fanout import run_concurrently
from ospreyford.rebalance.holdscheduler import HoldScheduler
from ospreyford.rebalance.passes import PassTimer
from ospreyford.rebalance.pauses import PlanPause
from ospreyford.rebalance.planner import Plan, PlanLimits, Planner
from ospreyford.rebalance.rankloads import count_reporting_ranks
from ospreyford.rebalance.versions import FENCE_AUTHOR, encode_version
from ospreyford.rebalance.view import GroupView

if TYPE_CHECKING:
    from ospreyford.direct.catalog import Engine
    from ospreyford.rebalance.agentports import AgentPorts
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.mapcache import MapCache
    from ospreyford.rebalance.metrics import AgentMetrics
    from ospreyford.rebalance.ranks import GroupRanks
    from ospreyford.rebalance.settings import RebalanceSettings

MILLISECONDS_PER_SECOND = 1000
#: Fraction of the ranks whose load must be known before a plan is made; few of
#: them are after the start of a coordinator or a change of its tree.
MIN_REPORTED_FRACTION = 0.5
#: Time that load reports may be incomplete before the tree is rebuilt.
MAX_INCOMPLETE_SECONDS = 1.0


class GroupLeader:
    """Plans and applies the map changes of one group while its agent leads.

    :param ranks: sends orders to the ranks.
    :param maps: cache of recent maps.
    :param previous_host: IP address of the previous coordinator's host, if any.
    :param pace: how fast maps follow the load.
    :param metrics: metrics of the agent.
    :param ports: event log and clock.
    """

    def __init__(
        self,
        ranks: GroupRanks,
        maps: MapCache,
        previous_host: str | None,
        pace: RebalanceSettings,
        metrics: AgentMetrics,
        ports: AgentPorts,
    ) -> None:
        clock = ports.clock
        ranks.maps = maps
        self.ranks = ranks
        self.view = GroupView(ranks, maps, clock)
        self._maps = maps
        self._previous_host = previous_host
        if previous_host is not None:
            # The missing heartbeats already prove that the host has failed; a
            # group that it left held would stand still for another timeout.
            ranks.failure_detector.mark_failed(previous_host)
        self.pass_timer = PassTimer()
        self._scheduler = HoldScheduler()
        self._pace = pace
        self._metrics = metrics
        self._log = ports.log
        self._clock = clock
        self._last_settled: GroupSettled | None = None
        self._coordinator: Coordinator | None = None
        self._is_leaving = False
        self._last_complete_at = clock.monotonic()
        self._pause = PlanPause(ranks.failure_detector, clock)

    def select_turn(self) -> int:
        """Select the tree in which the loads of the ranks are aggregated.

        :returns: its turn; another one than before if loads are missing.
        """
        sums = self.view.sums
        now = self._clock.monotonic()
        if sums.count_ranks() >= count_reporting_ranks(self.ranks):
            self._last_complete_at = now
        elif now - self._last_complete_at > MAX_INCOMPLETE_SECONDS:
            self._last_complete_at = now
            sums.switch_rotation(sums.rotation + 1)
        return sums.rotation

    def record_state(self, state: RankState) -> None:
        """Record the state of the rank on this host.

        :param state: the rank's state.
        """
        self.ranks.record_state(state)
        self.pass_timer.record_step(state.step, self._clock.monotonic())

    def leave(self) -> None:
        """Start no new change, and hold no pass for the current one."""
        self._is_leaving = True
        if self._coordinator is not None:
            self._coordinator.is_leaving = True

    def is_busy(self) -> bool:
        """Return whether a change is in progress or a pass is held.

        :returns: whether the coordinator must not stop yet.
        """
        group = self.view.find_group(self._previous_host)
        is_held = group is not None and bool(self.view.list_held(group))
        return is_held or self._coordinator is not None

    def is_changing(self) -> bool:
        """Return whether a change or a recovery is in progress.

        :returns: whether orders are still sent.
        """
        return self._coordinator is not None

    def may_plan(self) -> bool:
        """Return whether a change may start.

        :returns: false while an agent that is about to stop may be needed.
        """
        return self._pause.is_over() and not self._is_leaving

    def grant_leave(self) -> bool:
        """Decide whether an agent may stop now, and delay the next change.

        :returns: whether no change is in progress.
        """
        # A new change would wait for the stopped agent with a pass held.
        self._pause.extend()
        return not self.is_busy()

    async def run_once(
        self, token: int, engine: Engine, max_gap: float
    ) -> bool:
        """Check the group once, and change its map if the gain justifies it.

        :param token: this coordinator's fencing token.
        :param engine: capacity figures of the engine.
        :param max_gap: longest acceptable gap between events, in seconds.
        :returns: whether the token is still valid.
        """
        group = self.view.find_group(self._previous_host)
        if group is None:
            return True
        self._scheduler.pass_seconds = self.pass_timer.compute_mean_seconds()
        coordinator = Coordinator(
            self.ranks.own_rank,
            token,
            self.ranks,
            run_concurrently,
            self._clock,
            self._scheduler,
        )
        self._coordinator = coordinator
        try:
            await self._advance(coordinator, group, engine, max_gap)
        finally:
            self._coordinator = None
        return not coordinator.is_fenced

    async def _advance(
        self,
        coordinator: Coordinator,
        group: Group,
        engine: Engine,
        max_gap: float,
    ) -> None:
        if self.view.list_held(group) or self.view.list_armed(group):
            await self._settle(coordinator, group)
        elif group.missing_rank is None and self.may_plan():
            plan = self._plan(group, engine, max_gap)
            if plan is not None:
                await self._change(coordinator, group, plan)

    def _plan(
        self, group: Group, engine: Engine, max_gap: float
    ) -> Plan | None:
        experts = self.view.find_map(group)
        if experts is None:
            return None
        counted = self.view.sums.count_ranks()
        if counted < MIN_REPORTED_FRACTION * len(group.ranks):
            return None
        loads = self.view.find_loads(len(experts))
        if not loads or not any(loads[0]):
            return None
        copy_cost = self._pace.copy_cost * compute_cost_factor(
            self._pace, self.pass_timer.compute_mean_seconds(), max_gap
        )
        limits = PlanLimits(
            places=engine.places,
            spare=engine.spare,
            copies=self._pace.copies,
            least_gain=self._pace.least_gain,
            copy_cost=copy_cost / len(group.ranks),
        )
        paces = self.view.list_paces(group)
        deadline = self._clock.monotonic() + self._pace.plan
        return Planner(
            loads,
            experts,
            limits,
            paces,
            lambda: self._clock.monotonic() >= deadline,
        ).plan()

    async def _change(
        self, coordinator: Coordinator, group: Group, plan: Plan
    ) -> None:
        self._last_settled = None
        started_at = self._clock.monotonic()
        age = self.view.sums.compute_age()
        states = dict(self.ranks.read_states())
        own_state = states[self.ranks.own_rank]
        version = self._make_version(self.ranks.own_rank)
        self._maps.put(version, plan.experts)
        outcome = await coordinator.change(group, version, plan.experts)
        if outcome is Change.made:
            self.ranks.record_map_switch(version)
        duration = self._clock.monotonic() - started_at
        self._metrics.changes.labels(outcome.value).inc()
        self._metrics.copies.inc(plan.copies)
        self._metrics.change_seconds.observe(duration)
        self._log.log_change(
            MapChanged(
                group=own_state.group,
                epoch=group.epoch,
                version=version,
                outcome=outcome.value,
                copies=plan.copies,
                before=round(plan.before, 2),
                after=round(plan.after, 2),
                step=own_state.step,
                running=sum(one.active for one in states.values()),
                queued=sum(one.queued for one in states.values()),
                age_ms=int(age * MILLISECONDS_PER_SECOND),
                took_ms=int(duration * MILLISECONDS_PER_SECOND),
            )
        )

    async def _settle(self, coordinator: Coordinator, group: Group) -> None:
        own_state = self.view.find_mine()
        experts = self.view.find_map(group)
        held = self.view.list_held(group)
        armed = self.view.list_armed(group)
        if own_state is None or experts is None:
            return
        version = self._make_version(FENCE_AUTHOR)
        self._maps.put(version, experts)
        is_settled = await coordinator.settle(group, version, experts)
        settled = GroupSettled(
            own_state.group, group.epoch, held, armed, is_settled
        )
        # Idle and unreachable groups stay as they are; log each state once.
        if settled != self._last_settled:
            self._last_settled = settled
            self._log.log_change(settled)

    def _make_version(self, author: int) -> int:
        now = int(self._clock.wall() * MILLISECONDS_PER_SECOND)
        return encode_version(now, author)


def compute_cost_factor(
    pace: RebalanceSettings, mean: float, max_gap: float
) -> float:
    """Compute how much more a copy must gain than under high load.

    The cost of a copy is constant, while imbalance only matters as passes
    approach the longest acceptable gap.

    :param pace: how fast maps follow the load.
    :param mean: mean pass time, in seconds; 0 if unknown.
    :param max_gap: longest acceptable gap between events, in seconds.
    :returns: the factor, 1 or more.
    """
    limit = pace.pass_part * max_gap
    if mean <= 0 or limit <= 0:
        return 1
    factor: float = max(limit / mean, 1) ** pace.ease
    return factor
