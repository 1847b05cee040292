"""The coordinator's view of its group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.coordinator import Group
from ospreyford.rebalance.loadaggregator import LoadAggregator
from ospreyford.rebalance.loads import sum_loads_by_set

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.group import ExpertMap, RankExperts, RankState
    from ospreyford.rebalance.mapcache import MapCache
    from ospreyford.rebalance.messages import RankReport
    from ospreyford.rebalance.ports import EnginePort
    from ospreyford.rebalance.ranks import GroupRanks


class GroupView:
    """States, maps and loads of all ranks of a group.

    :param ranks: the ranks of the group.
    :param maps: maps recently received by this agent.
    :param clock: source of time.
    """

    def __init__(self, ranks: GroupRanks, maps: MapCache, clock: Clock) -> None:
        self._maps = maps
        self.sums = LoadAggregator(clock)
        self._ranks = ranks
        self._experts: dict[int, RankExperts] = {}
        self._experts_of: dict[int, tuple[int, int] | None] = {}

    def record_report(self, report: RankReport, host: str) -> None:
        """Record an agent's report.

        :param report: the report.
        :param host: IP address of the agent's host.
        """
        self._ranks.record_state(report.state)
        rank = report.state.rank
        if report.experts:
            self._record_experts(rank, report.experts)
        if report.partial_load is not None:
            self.sums.record(host, report.partial_load)

    async def probe_silent_ranks(
        self, members: Sequence[Address], unassigned: Sequence[Address]
    ) -> None:
        """Read the states of ranks whose agents are silent.

        :param members: addresses of the group's agents.
        :param unassigned: addresses of agents that no group is known of.
        """
        for rank, engine in await self._ranks.probe_silent_ranks(
            members, unassigned
        ):
            await self._read_experts(rank, engine)

    def find_mine(self) -> RankState | None:
        """Find the state of the coordinator's own rank.

        :returns: the state, or ``None`` if it is not known.
        """
        return self._ranks.read_states().get(self._ranks.own_rank)

    def find_group(self, lost: str | None) -> Group | None:
        """Find the group, if it is open and its ranks are known.

        :param lost: IP address of the previous coordinator's host, whose rank
            may be unreachable.
        :returns: the group, or ``None``.
        """
        states = self._ranks.read_states()
        mine = self.find_mine()
        if mine is None or not mine.is_open:
            return None
        known = tuple(
            rank
            for rank in range(mine.size)
            if rank in states and states[rank].epoch == mine.epoch
        )
        missing = sorted(set(range(mine.size)).difference(known))
        if not missing:
            return Group(mine.epoch, known)
        is_lost = (
            lost is not None and self._ranks.failure_detector.is_suspected(lost)
        )
        is_explained = len(missing) == 1 and is_lost
        return Group(mine.epoch, known, missing[0]) if is_explained else None

    def list_held(self, group: Group) -> list[int]:
        """List the ranks that hold a pass.

        :param group: the group.
        :returns: the ranks.
        """
        states = self._ranks.read_states()
        return [rank for rank in group.ranks if states[rank].held is not None]

    def list_armed(self, group: Group) -> list[int]:
        """List the ranks that are armed.

        :param group: the group.
        :returns: the ranks.
        """
        states = self._ranks.read_states()
        return [rank for rank in group.ranks if states[rank].armed is not None]

    def find_map(self, group: Group) -> ExpertMap | None:
        """Find the active map, if all ranks have the same version.

        :param group: the group.
        :returns: the active map, or ``None`` if it is not known.
        """
        states = self._ranks.read_states()
        versions = {states[rank].version for rank in group.ranks}
        if len(versions) != 1:
            return None
        known = self._maps.get(min(versions))
        return self._join_experts(group) if known is None else known

    def find_loads(self, sets: int) -> list[list[float]]:
        """Sum the load of each expert.

        :param sets: the number of sets.
        :returns: for each set, the load of each expert; empty if not known.
        """
        return sum_loads_by_set(self.sums.list_loads(), sets)

    def list_paces(self, group: Group) -> list[float]:
        """List the slowdown factor of each rank.

        :param group: the group.
        :returns: the factors, 1 or more.
        """
        states = self._ranks.read_states()
        return [max(states[rank].pace, 1) for rank in group.ranks]

    async def _read_experts(self, rank: int, engine: EnginePort) -> None:
        map_id = self._get_map_id(rank)
        is_known = map_id is None or self._maps.get(map_id[1]) is not None
        if is_known or self._experts_of.get(rank) == map_id:
            return
        experts = await engine.read_experts()
        if experts is not None:
            self._record_experts(rank, experts)

    def _record_experts(self, rank: int, experts: RankExperts) -> None:
        self._experts[rank] = experts
        self._experts_of[rank] = self._get_map_id(rank)

    def _get_map_id(self, rank: int) -> tuple[int, int] | None:
        state = self._ranks.read_states().get(rank)
        return None if state is None else (state.epoch, state.version)

    def _join_experts(self, group: Group) -> ExpertMap | None:
        maps = {self._get_map_id(rank) for rank in group.ranks}
        known = {self._experts_of.get(rank) for rank in group.ranks}
        if maps != known:
            return None
        experts_by_rank = [self._experts[rank] for rank in group.ranks]
        return tuple(zip(*experts_by_rank, strict=True))
