"""Shared types of hosts, backend servers and their load."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

import msgspec


class HostState(StrEnum):
    """State of a host in the platform's host list, which may be stale."""

    live = 'live'
    leaving = 'leaving'


class Host(NamedTuple):
    """A host in the platform's host list.

    ``name`` is stable, ``instance`` is the platform's id of the machine: a
    replaced host keeps the name and changes the instance. ``role`` is
    ``backend`` or ``entry``. Addresses are ``ip:port``:
    ``data_address`` receives requests (the agent's on a backend server host),
    ``peer_address`` receives peer messages.
    """

    name: str
    instance: str
    role: str
    zone: str
    region: str
    service: str
    data_address: str
    peer_address: str
    state: HostState = HostState.live
    labels: Mapping[str, str] = {}


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a backend server as last known to its agent.

    :param incarnation: the agent's incarnation; others are stale.
    :param in_flight: running requests as counted by the agent.
    :param queued: requests waiting in the engine.
    :param queued_tokens: prompt tokens waiting in the engine.
    :param step_seconds: recent mean step time, in seconds.
    :param free_cache_ratio: free share of the KV cache, 0 to 1.
    :param age_seconds: age of the engine's metrics on sending, in seconds.
    :param draining: the agent accepts no new requests.
    """

    incarnation: str
    in_flight: int = 0
    queued: int = 0
    queued_tokens: int = 0
    step_seconds: float = 0
    free_cache_ratio: float = 1
    age_seconds: float = 0
    draining: bool = False
