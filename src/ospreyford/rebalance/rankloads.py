"""Load of each rank of a group, as known to the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.rebalance.ranks import GroupRanks


class RankLoad(NamedTuple):
    """Load of a rank.

    :param host: IP address of the rank's host.
    :param requests: number of running and queued requests.
    :param pace: slowdown factor; above 1 the rank is slower than usual.
    :param is_silent: whether the rank's agent has stopped reporting, so that
        the other values are stale.
    """

    host: str
    requests: int
    pace: float
    is_silent: bool


def list_rank_loads(ranks: GroupRanks) -> tuple[RankLoad, ...]:
    """List the load of each rank whose state is known.

    :param ranks: the ranks of the group.
    :returns: the loads.
    """
    hosts = {rank: address[0] for rank, address in ranks.agents.items()}
    hosts[ranks.own_rank] = ranks.own_host
    return tuple(
        RankLoad(
            host=hosts[rank],
            requests=state.active + state.queued,
            pace=state.pace,
            is_silent=rank != ranks.own_rank
            and ranks.failure_detector.is_suspected(hosts[rank]),
        )
        for rank, state in ranks.read_states().items()
        if rank in hosts
    )


def count_reporting_ranks(ranks: GroupRanks) -> int:
    """Count the ranks whose agents are reporting.

    :param ranks: the ranks of the group.
    :returns: number of ranks, the coordinator's own included.
    """
    failure_detector = ranks.failure_detector
    return 1 + sum(
        not failure_detector.is_suspected(agent[0])
        for agent in ranks.agents.values()
    )
