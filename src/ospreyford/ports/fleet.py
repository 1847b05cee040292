"""Hosts, backend servers and their load: names shared by every part."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

import msgspec


class HostState(StrEnum):
    """What the platform's host list says of a host; it lags."""

    live = 'live'
    leaving = 'leaving'


class Host(NamedTuple):
    """One host of the platform's host list.

    ``name`` is the slot's lasting name, ``instance`` the platform's id of the
    machine now in it: a replaced host keeps the name and changes the
    instance. ``role`` is ``backend`` or ``entry``. Addresses are ``ip:port``:
    ``data_address`` takes requests (the agent's on a backend server host),
    ``peer_address`` takes messages between the system's own processes.
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
    """What a backend server's agent last knew of its load.

    :param incarnation: the agent's incarnation; a report of an earlier one
        says nothing of the present.
    :param in_flight: requests running now, by the agent's own count.
    :param queued: requests waiting in the engine.
    :param queued_tokens: prompt tokens waiting in the engine.
    :param step_seconds: recent mean step time, in seconds.
    :param free_cache_ratio: free share of the KV cache, 0 to 1.
    :param age_seconds: age of the engine's figures when the report was sent.
    :param draining: the agent takes no new work.
    """

    incarnation: str
    in_flight: int = 0
    queued: int = 0
    queued_tokens: int = 0
    step_seconds: float = 0
    free_cache_ratio: float = 1
    age_seconds: float = 0
    draining: bool = False
