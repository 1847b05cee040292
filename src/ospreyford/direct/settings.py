"""Settings of an entry that reaches back ends directly."""

from __future__ import annotations

from typing import NamedTuple


class RetrySettings(NamedTuple):
    """The budget of second sendings that all entries share.

    :param ratio: retries for each request.
    :param slack: retries beyond that, of all entries together.
    :param window: in which both are counted, in seconds.
    :param assumed_entries: entries that share it, until their number is known.
    """

    ratio: float
    slack: float
    window: float
    assumed_entries: int = 8


class Bounds(NamedTuple):
    """How long an entry may act on what it knows.

    :param drain_seconds: after a back end's registration went, it may still
        get work for that long.
    :param grace_seconds: from SIGTERM to the end of the process.
    :param revoke_seconds: a key that was taken away may still be served for
        that long; ``None`` if keys stay good while the store is away.
    :param knowledge_margin: subtracted from it, for the time between the
        check and the back end's start, in seconds.
    """

    drain_seconds: float
    grace_seconds: float
    revoke_seconds: float | None
    knowledge_margin: float = 0.6


class DirectSettings(NamedTuple):
    """All that an entry needs to know at its start.

    :param name: the host's name.
    :param zone: its availability zone.
    :param region: its region.
    :param front: where callers connect, IP number and port.
    :param ready: where the balancer asks whether it takes connections.
    :param datagrams: where messages of other processes arrive.
    :param metrics_port: the port of the metrics, on all addresses.
    :param agent_port: the port of the agents' datagrams.
    :param retries: the shared retry budget.
    :param bounds: how long old knowledge may be used.
    """

    name: str
    zone: str
    region: str
    front: tuple[str, int]
    ready: tuple[str, int]
    datagrams: tuple[str, int]
    metrics_port: int
    agent_port: int
    retries: RetrySettings
    bounds: Bounds
