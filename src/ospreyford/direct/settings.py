"""Settings of an entry that reaches backends directly."""

from __future__ import annotations

from typing import NamedTuple

from ospreyford.http.buffers import DEFAULT_BUFFER_BYTES, DEFAULT_REQUEST_BYTES


class RetrySettings(NamedTuple):
    """Retry budget shared by all entries.

    :param ratio: retries per request.
    :param slack: additional retries of all entries together.
    :param window: sliding window, in seconds.
    :param assumed_entries: number of entries that share a group until it is
        known; the budget is divided by more.
    """

    ratio: float
    slack: float
    window: float
    assumed_entries: int = 8


class Bounds(NamedTuple):
    """Limits on the use of old state.

    :param drain_seconds: maximum time a backend may get requests after
        deregistration.
    :param grace_seconds: time from SIGTERM to the end of the process.
    :param revoke_seconds: maximum time a revoked key may be accepted; ``None``
        if keys stay valid during a store outage.
    :param knowledge_margin: subtracted from it for the time between check and
        start of the request, in seconds.
    :param cold_overage: requests that a cold backend may get in a second,
        relative to the rate that its service publishes.
    :param cold_slack: additional requests in that second.
    """

    drain_seconds: float
    grace_seconds: float
    revoke_seconds: float | None
    knowledge_margin: float = 0.6
    cold_overage: float = 1.5
    cold_slack: float = 5


class DirectSettings(NamedTuple):
    """Settings read at the start of an entry.

    :param name: the host's name.
    :param zone: its availability zone.
    :param region: its region.
    :param front: listen address for callers: IP address and port.
    :param ready: listen address for readiness checks.
    :param datagrams: listen address for datagrams of other processes.
    :param metrics_port: port of the metrics, on all addresses.
    :param agent_port: the port of the agents' datagrams.
    :param retries: the shared retry budget.
    :param bounds: limits on the use of old state.
    :param identity_salt: key of the identities of requests, up to 64 bytes, the
        same in all entries.
    :param buffer_bytes: limit of all unfinished responses of backends together,
        in bytes.
    :param request_bytes: the same of callers' unfinished requests.
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
    identity_salt: bytes = b''
    buffer_bytes: int = DEFAULT_BUFFER_BYTES
    request_bytes: int = DEFAULT_REQUEST_BYTES
