"""The coordinator's own work: from loads to plans to changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.coordinator import Change, Coordinator, Group
from ospreyford.rebalance.decisions import GroupSettled, MapChanged
from ospreyford.rebalance.fanout import run_together
from ospreyford.rebalance.passes import PassTimer
from ospreyford.rebalance.pauses import PlanPause
from ospreyford.rebalance.planner import Plan, PlanLimits, Planner
from ospreyford.rebalance.rankloads import count_reporting_ranks
from ospreyford.rebalance.tempo import Tempo
from ospreyford.rebalance.versions import NOBODY, make_version
from ospreyford.rebalance.view import GroupView

if TYPE_CHECKING:
    from ospreyford.direct.catalog import Engine
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.knownmaps import KnownMaps
    from ospreyford.rebalance.metrics import AgentMetrics
    from ospreyford.rebalance.outside import Outside
    from ospreyford.rebalance.ranks import GroupRanks
    from ospreyford.rebalance.settings import RebalanceSettings

MILLISECONDS = 1000
#: Part of the ranks whose load must be known for a plan. Right after the start
#: of a coordinator, and when its tree of agents changes, few of them are.
COUNTED_PART = 0.5
#: Time for which loads of ranks that report may be missing, in seconds, before
#: they are summed up in another tree: an inner agent is lost.
INCOMPLETE_SECONDS = 1.0


class GroupLeader:
    """Plans and changes the maps of one group while its agent leads.

    :param ranks: reaches the ranks.
    :param maps: the last maps that this agent was told of.
    :param lost: IP number of the earlier coordinator's host, if there was one.
    :param pace: how fast maps follow the load.
    :param metrics: counts the changes.
    :param outside: where decisions go, and the source of time.
    """

    def __init__(
        self,
        ranks: GroupRanks,
        maps: KnownMaps,
        lost: str | None,
        pace: RebalanceSettings,
        metrics: AgentMetrics,
        outside: Outside,
    ) -> None:
        clock = outside.clock
        ranks.maps = maps
        self.ranks = ranks
        self.view = GroupView(ranks, maps, clock)
        self._maps = maps
        self._lost = lost
        if lost is not None:
            # Its heartbeats were missing for as long as reports must be. Waited
            # for anew, a group that it left held stands still as long again.
            ranks.silent.note_lost(lost)
        self.passes = PassTimer()
        self._tempo = Tempo()
        self._pace = pace
        self._metrics = metrics
        self._log = outside.log
        self._clock = clock
        self._last_settled: GroupSettled | None = None
        self._coordinator: Coordinator | None = None
        self._is_leaving = False
        self._complete_at = clock.monotonic()
        self._pause = PlanPause(ranks.silent, clock)

    def choose_turn(self) -> int:
        """Choose the tree in which the loads of the ranks are summed up.

        :returns: its turn: another one than before if loads are missing.
        """
        sums = self.view.sums
        now = self._clock.monotonic()
        if sums.count_ranks() >= count_reporting_ranks(self.ranks):
            self._complete_at = now
        elif now - self._complete_at > INCOMPLETE_SECONDS:
            self._complete_at = now
            sums.switch_rotation(sums.rotation + 1)
        return sums.rotation

    def note_pass(self, state: RankState) -> None:
        """Take over a look at the rank beside this agent.

        :param state: the rank's.
        """
        self.ranks.record_state(state)
        self.passes.add(state.step, self._clock.monotonic())

    def leave(self) -> None:
        """Begin no new change, and hold no pass for the one under way."""
        self._is_leaving = True
        if self._coordinator is not None:
            self._coordinator.is_leaving = True

    def is_busy(self) -> bool:
        """Tell whether a change is under way or a pass is held.

        :returns: whether the group is not at rest.
        """
        group = self.view.find_group(self._lost)
        is_held = group is not None and bool(self.view.list_held(group))
        return is_held or self._coordinator is not None

    def may_plan(self) -> bool:
        """Tell whether a change may begin.

        :returns: whether no agent that is about to end counts on none.
        """
        return self._pause.is_over() and not self._is_leaving

    def let_leave(self) -> bool:
        """Tell whether an agent may end now; no change begins for a while.

        :returns: whether no change is under way.
        """
        # Begun just then, a change would ask the agent in vain, with a pass
        # held, before it reached past it.
        self._pause.extend()
        return not self.is_busy()

    async def work(self, token: int, engine: Engine, max_gap: float) -> bool:
        """Look at the group once, and change its map if that pays.

        :param token: this coordinator's fencing token.
        :param engine: figures of the engine.
        :param max_gap: pause between events that callers bear, in seconds.
        :returns: whether the token is still good.
        """
        group = self.view.find_group(self._lost)
        if group is None:
            return True
        self._tempo.pass_seconds = self.passes.tell_mean()
        coordinator = Coordinator(
            self.ranks.own_rank,
            token,
            self.ranks,
            run_together,
            self._clock,
            self._tempo,
        )
        self._coordinator = coordinator
        try:
            await self._bring_on(coordinator, group, engine, max_gap)
        finally:
            self._coordinator = None
        return not coordinator.is_fenced

    async def _bring_on(
        self,
        coordinator: Coordinator,
        group: Group,
        engine: Engine,
        max_gap: float,
    ) -> None:
        if self.view.list_held(group) or self.view.list_armed(group):
            await self._settle(coordinator, group)
        elif group.missing is None and self.may_plan():
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
        if counted < COUNTED_PART * len(group.ranks):
            return None
        loads = self.view.find_loads(len(experts))
        if not loads or not any(loads[0]):
            return None
        copy_cost = self._pace.copy_cost * self._tell_ease(max_gap)
        limits = PlanLimits(
            places=engine.places,
            spare=engine.spare,
            copies=self._pace.copies,
            least_gain=self._pace.least_gain,
            copy_cost=copy_cost / len(group.ranks),
        )
        paces = self.view.list_paces(group)
        until = self._clock.monotonic() + self._pace.plan
        return Planner(
            loads,
            experts,
            limits,
            paces,
            lambda: self._clock.monotonic() >= until,
        ).plan()

    def _tell_ease(self, max_gap: float) -> float:
        """Tell how much more a copy must gain now than under high load.

        A copy has the same price under any load. While passes are short, an
        uneven load makes nobody wait too long; near the pause that callers
        bear, every part of a pass counts.
        """
        pace = self._pace
        mean = self.passes.tell_mean()
        limit = pace.pass_part * max_gap
        if mean <= 0 or limit <= 0:
            return 1
        ease: float = max(limit / mean, 1) ** pace.ease
        return ease

    async def _change(
        self, coordinator: Coordinator, group: Group, plan: Plan
    ) -> None:
        self._last_settled = None
        began = self._clock.monotonic()
        age = self.view.sums.compute_age()
        states = dict(self.ranks.read_states())
        mine = states[self.ranks.own_rank]
        version = self._next_version(self.ranks.own_rank)
        self._maps.note(version, plan.experts)
        outcome = await coordinator.change(group, version, plan.experts)
        if outcome is Change.made:
            self.ranks.record_map_switch(version)
        took = self._clock.monotonic() - began
        self._metrics.changes.labels(outcome.value).inc()
        self._metrics.copies.inc(plan.copies)
        self._metrics.change_seconds.observe(took)
        self._log.log_change(
            MapChanged(
                group=mine.group,
                epoch=group.epoch,
                version=version,
                outcome=outcome.value,
                copies=plan.copies,
                before=round(plan.before, 2),
                after=round(plan.after, 2),
                step=mine.step,
                running=sum(one.active for one in states.values()),
                queued=sum(one.queued for one in states.values()),
                age_ms=int(age * MILLISECONDS),
                took_ms=int(took * MILLISECONDS),
            )
        )

    async def _settle(self, coordinator: Coordinator, group: Group) -> None:
        mine = self.view.find_mine()
        experts = self.view.find_map(group)
        held = self.view.list_held(group)
        armed = self.view.list_armed(group)
        if mine is None or experts is None:
            return
        version = self._next_version(NOBODY)
        self._maps.note(version, experts)
        is_settled = await coordinator.settle(group, version, experts)
        settled = GroupSettled(mine.group, group.epoch, held, armed, is_settled)
        # An idle group stays armed until its next pass, and one that is held
        # out of reach until its host is back: one line says so, not one for
        # each look.
        if settled != self._last_settled:
            self._last_settled = settled
            self._log.log_change(settled)

    def _next_version(self, author: int) -> int:
        now = int(self._clock.wall() * MILLISECONDS)
        return make_version(now, author)
