"""What the ranks of a group have to do, as their coordinator knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.rebalance.ranks import GroupRanks


class RankLoad(NamedTuple):
    """What a rank has to do.

    :param host: IP number of the rank's host.
    :param requests: that run and wait there.
    :param pace: above 1 the rank is slower than usual.
    :param is_silent: whether the agent beside it is not heard of; the other
        figures are then the last ones that were told.
    """

    host: str
    requests: int
    pace: float
    is_silent: bool


def list_rank_loads(ranks: GroupRanks) -> tuple[RankLoad, ...]:
    """List what runs and waits at each rank.

    :param ranks: the ranks of the group.
    :returns: the load of each rank that is known.
    """
    hosts = {rank: address[0] for rank, address in ranks.agents.items()}
    hosts[ranks.own_rank] = ranks.own_host
    return tuple(
        RankLoad(
            host=hosts[rank],
            requests=state.active + state.queued,
            pace=state.pace,
            is_silent=rank != ranks.own_rank
            and ranks.silent.is_suspected(hosts[rank]),
        )
        for rank, state in ranks.read_states().items()
        if rank in hosts
    )


def count_reporting_ranks(ranks: GroupRanks) -> int:
    """Count the ranks whose agents are heard of.

    :param ranks: the ranks of the group.
    :returns: their number, the coordinator's own included.
    """
    silent = ranks.silent
    return 1 + sum(
        not silent.is_suspected(agent[0]) for agent in ranks.agents.values()
    )
