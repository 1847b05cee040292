"""Settings of an agent that balances experts."""

from __future__ import annotations

from typing import NamedTuple


class RebalanceSettings(NamedTuple):
    """How fast maps follow the load.

    :param poll: time between two looks at the rank beside the agent, seconds.
    :param report: time between two reports to the coordinator, in seconds.
    :param copies: experts that one plan may add to a rank.
    :param least_gain: what a move must lower the peak of a set by, as a part
        of a rank's mean load.
    :param copy_cost: what one copy on each rank must lower the mean skew of
        all sets by where a pass takes ``pass_part`` of the pause that callers
        bear. A shorter pass serves as many more streams as there are ranks, so
        that a single copy in a larger group may gain less.
    :param pass_part: see ``copy_cost``; in shorter passes a copy must gain
        more.
    :param ease: how fast that grows as passes get shorter.
    :param plan: time for a plan, in seconds. Planning stops the coordinator's
        heartbeats: 72 ranks with 12 sets took 1.9 s, and another coordinator
        began meanwhile.
    """

    poll_seconds: float = 0.03
    report_seconds: float = 0.09
    copies: int = 2
    least_gain: float = 0.03
    copy_cost: float = 0.06
    max_gap_fraction: float = 0.5
    copy_cost_exponent: float = 3
    planning_seconds: float = 0.03


class AgentSettings(NamedTuple):
    """All that an agent needs to know at its start.

    :param name: the host's name.
    :param zone: its availability zone.
    :param region: its region.
    :param backend: the back end beside it, IP number and port.
    :param datagrams: where messages of other processes arrive.
    :param metrics_port: the port of the metrics.
    :param grace_seconds: from SIGTERM to the end of the process.
    :param pace: how fast maps follow the load.
    :param link_bytes: what the host's link carries, in bytes a second.
    """

    name: str
    zone: str
    region: str
    backend: tuple[str, int]
    datagram_address: tuple[str, int]
    metrics_port: int
    grace_seconds: float
    rebalance: RebalanceSettings = RebalanceSettings()
    link_bytes: float = float('inf')
