"""Latest states of a group's ranks, and the agents beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.group import RankState


class RankStates:
    """Keeps one state for each rank of the group's present size.

    :param own_rank: the rank beside this agent.

    ``by_rank`` are the states, ``agents`` the addresses of the agents, both by
    rank.
    """

    def __init__(self, own_rank: int) -> None:
        self.by_rank: dict[int, RankState] = {}
        self.agents: dict[int, Address] = {}
        self._own_rank = own_rank
        self._epoch = -1
        self._size = 0

    def record(self, state: RankState) -> None:
        """Record a rank's state unless a newer one is known.

        :param state: the state.
        """
        self._record_size(state)
        known = self.by_rank.get(state.rank)
        is_older = known is not None and (
            _get_recency_key(known) > _get_recency_key(state)
        )
        if state.rank < self._size and not is_older:
            self.by_rank[state.rank] = state

    def record_agent(self, state: RankState, agent: Address) -> None:
        """Record the state of the rank beside an agent.

        :param state: the state.
        :param agent: the agent's address.
        """
        self.forget_agent(agent, except_rank=state.rank)
        self.record(state)
        if state.rank < self._size:
            self.agents[state.rank] = agent

    def record_map_switch(self, version: int) -> None:
        """Record that the armed map has become active.

        :param version: version of the active map.
        """
        for rank, state in tuple(self.by_rank.items()):
            if state.armed is not None and state.armed.version == version:
                self.by_rank[rank] = state._replace(
                    version=version, prepared=None, armed=None
                )

    def forget_agent(
        self, agent: Address, except_rank: int | None = None
    ) -> None:
        """Forget the ranks that an agent was beside.

        :param agent: the agent's address.
        :param except_rank: a rank that is kept, if any.
        """
        for rank, known in tuple(self.agents.items()):
            if known == agent and rank != except_rank:
                self._forget_rank(rank)

    def is_missing_any(self) -> bool:
        """Return whether ranks of the newest epoch are unknown.

        :returns: whether fewer are known than the group has.
        """
        current = [
            state
            for state in self.by_rank.values()
            if state.epoch == self._epoch
        ]
        return len(current) < self._size

    def _record_size(self, state: RankState) -> None:
        is_own = state.rank == self._own_rank and state.epoch == self._epoch
        if state.epoch > self._epoch or is_own:
            self._epoch = state.epoch
            self._size = state.size
            for rank in self.by_rank.keys() | self.agents.keys():
                if rank >= self._size:
                    self._forget_rank(rank)

    def _forget_rank(self, rank: int) -> None:
        self.agents.pop(rank, None)
        self.by_rank.pop(rank, None)


def _get_recency_key(state: RankState) -> tuple[int, int, int, int]:
    """Return a key that orders the states of one rank by age.

    Includes the start time, since a restarted rank's numbers begin at zero.
    """
    return (state.epoch, state.born_ms, state.sequence, state.step)
