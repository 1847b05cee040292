"""The coordinator's own work: from counts to plans to changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.coordinator import Change, Coordinator, Group
from ospreyford.rebalance.decisions import GroupSettled, MapChanged
from ospreyford.rebalance.fanout import run_together
from ospreyford.rebalance.loads import Shares, add_up
from ospreyford.rebalance.passes import PassTimer
from ospreyford.rebalance.planner import Plan, PlanLimits, Planner

if TYPE_CHECKING:
    from ospreyford.direct.catalog import Engine
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.group import ExpertMap, RankExperts, RankState
    from ospreyford.rebalance.messages import Counts
    from ospreyford.rebalance.ranks import GroupRanks
    from ospreyford.rebalance.settings import Pace

MILLISECONDS = 1000
#: A rank that was not heard of for so long is not counted on, in seconds.
STALE_SECONDS = 1.5
#: Numbers of map versions within one millisecond.
VERSIONS = 128


class GroupLeader:
    """Plans and changes the maps of one group while its agent leads.

    :param ranks: reaches the ranks.
    :param pace: how fast maps follow the load.
    :param log: where decisions go.
    :param clock: source of time.
    """

    def __init__(
        self,
        ranks: GroupRanks,
        pace: Pace,
        log: ChangeLog,
        clock: Clock,
    ) -> None:
        self.changes = 0
        self.failures = 0
        self.ranks = ranks
        self._me = ranks.me
        self._pace = pace
        self._log = log
        self._clock = clock
        self.passes = PassTimer()
        self._parts: dict[int, Shares] = {}
        self._experts: dict[int, RankExperts] = {}
        self._counted_at = clock.monotonic()

    def note_counts(self, counts: Counts) -> None:
        """Take over a rank's counts.

        :param counts: its report.
        """
        self.ranks.note_state(counts.state)
        self._experts[counts.state.rank] = counts.experts
        if counts.shares is not None:
            self._counted_at = self._clock.monotonic()
            self._parts[counts.state.rank] = counts.shares

    def note_pass(self, state: RankState) -> None:
        """Take over a look at the rank beside this agent.

        :param state: the rank's.
        """
        self.ranks.note_state(state)
        self.passes.add(state.step, self._clock.monotonic())

    async def work(self, token: int, engine: Engine, max_gap: float) -> bool:
        """Look at the group once, and change its map if that pays.

        :param token: this coordinator's fencing token.
        :param engine: figures of the engine.
        :param max_gap: pause between events that callers bear, in seconds.
        :returns: whether the token is still good.
        """
        group = self._view_group()
        if group is None:
            return True
        coordinator = Coordinator(
            self._me, token, self.ranks, run_together, self._clock
        )
        if self._is_unsettled(group):
            await self._settle(coordinator, group)
            return not coordinator.is_fenced
        experts = self._view_map(group)
        plan = None if experts is None else self._plan(experts, engine, max_gap)
        if plan is not None:
            await self._change(coordinator, group, plan)
        return not coordinator.is_fenced

    def _view_group(self) -> Group | None:
        states = self.ranks.read_states()
        mine = states.get(self._me)
        if mine is None or not mine.is_open:
            return None
        ranks = tuple(range(mine.size))
        for rank in ranks:
            state = states.get(rank)
            if state is None or state.epoch != mine.epoch:
                return None
        return Group(mine.epoch, ranks)

    def _is_unsettled(self, group: Group) -> bool:
        states = self.ranks.read_states()
        return any(
            states[rank].held is not None or states[rank].armed is not None
            for rank in group.ranks
        )

    def _view_map(self, group: Group) -> ExpertMap | None:
        """Put the ranks' lists together, if all are of one map."""
        states = self.ranks.read_states()
        versions = {states[rank].version for rank in group.ranks}
        lists = [self._experts.get(rank) for rank in group.ranks]
        if len(versions) != 1 or not all(lists):
            return None
        sets = len(lists[0] or ())
        return tuple(
            tuple((of_rank or ())[number] for of_rank in lists)
            for number in range(sets)
        )

    def _plan(
        self, experts: ExpertMap, engine: Engine, max_gap: float
    ) -> Plan | None:
        loads = add_up(self._parts, len(experts))
        if not loads or not any(loads[0]):
            return None
        limits = PlanLimits(
            places=engine.places,
            spare=engine.spare,
            copies=self._pace.copies,
            least_gain=self._pace.least_gain,
            copy_cost=self._pace.copy_cost * self._tell_ease(max_gap),
        )
        return Planner(loads, experts, limits).plan()

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
        began = self._clock.monotonic()
        counted_at = self._counted_at
        states = dict(self.ranks.read_states())
        version = self._next_version()
        outcome = await coordinator.change(group, version, plan.experts)
        if outcome is Change.made:
            self.changes += 1
        else:
            self.failures += 1
        self._log.log_change(
            MapChanged(
                group=self._name(),
                epoch=group.epoch,
                version=version,
                outcome=outcome.value,
                copies=plan.copies,
                before=round(plan.before, 2),
                after=round(plan.after, 2),
                step=states[self._me].step,
                running=sum(one.active for one in states.values()),
                queued=sum(one.queued for one in states.values()),
                age_ms=int((began - counted_at) * MILLISECONDS),
                took_ms=int((self._clock.monotonic() - began) * MILLISECONDS),
            )
        )

    async def _settle(self, coordinator: Coordinator, group: Group) -> None:
        states = self.ranks.read_states()
        held = [rank for rank in group.ranks if states[rank].held is not None]
        armed = [rank for rank in group.ranks if states[rank].armed is not None]
        experts = self._view_map(group)
        if experts is None:
            return
        is_settled = await coordinator.settle(
            group, self._next_version(), experts
        )
        self._log.log_change(
            GroupSettled(self._name(), group.epoch, held, armed, is_settled)
        )

    def _name(self) -> str:
        state = self.ranks.read_states().get(self._me)
        return '' if state is None else state.group

    def _next_version(self) -> int:
        # Higher than those of other coordinators, whose clocks are nearly
        # true, and of other ranks in the same millisecond.
        return int(self._clock.wall() * MILLISECONDS) * VERSIONS + self._me
