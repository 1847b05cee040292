"""Settings of an agent and of expert rebalancing."""

from __future__ import annotations

from typing import NamedTuple


class RebalanceSettings(NamedTuple):
    """Parameters of rebalancing.

    :param poll: interval between polls of the agent's rank, in seconds.
    :param report: minimum interval between reports, in seconds.
    :param copies: maximum number of experts that a plan may add to a rank.
    :param least_gain: minimum reduction of a set's peak load by a move, as a
        fraction of the mean load of a rank.
    :param copy_cost: minimum reduction of the mean skew by one copy on each
        rank, when a pass takes ``pass_part`` of the ``max_gap``.
    :param pass_part: pass duration below which the required gain grows,
        as a fraction of ``max_gap``.
    :param ease: exponent of that growth.
    :param plan: time limit of planning, in seconds. Planning blocks heartbeats,
        so a longer one would trigger an election.
    """

    poll: float = 0.03
    report: float = 0.09
    copies: int = 2
    least_gain: float = 0.03
    copy_cost: float = 0.06
    pass_part: float = 0.5
    ease: float = 3
    plan: float = 0.03


class AgentSettings(NamedTuple):
    """Settings of an agent.

    :param name: name of the host.
    :param zone: availability zone of the host.
    :param region: region of the host.
    :param backend: IP address and port of the backend beside the agent.
    :param datagrams: IP address and port for messages.
    :param metrics_port: port of the metrics endpoint.
    :param grace_seconds: time from SIGTERM to the end of the process.
    :param pace: parameters of rebalancing.
    :param link_bytes: bandwidth of the host's link, in bytes per second.
    """

    name: str
    zone: str
    region: str
    backend: tuple[str, int]
    datagrams: tuple[str, int]
    metrics_port: int
    grace_seconds: float
    pace: RebalanceSettings = RebalanceSettings()
    link_bytes: float = float('inf')
