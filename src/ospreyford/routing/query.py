"""Queries to the router and their results."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.documents.intents import ZonePreference

if TYPE_CHECKING:
    from ospreyford.ports.fleet import Host


class Identity(NamedTuple):
    """Name, availability zone and region of the routing entry."""

    name: str
    zone: str
    region: str


class Priority(IntEnum):
    """Priority of a request; a higher one may use more of the capacity."""

    low = 0
    normal = 1
    high = 2


class Outcome(StrEnum):
    """Outcome of an attempt at a backend.

    ``cancelled`` (by the caller, or a losing hedge) says nothing about the
    backend's health. ``outrun`` is a first attempt that a later hedge
    overtook; its duration is a lower bound on the latency.
    """

    answered = 'answered'
    failed = 'failed'
    cancelled = 'cancelled'
    outrun = 'outrun'


class Attempt(StrEnum):
    """Kind of an attempt; only first attempts earn budget."""

    first = 'first'
    retry = 'retry'
    hedge = 'hedge'


class RoutingQuery(NamedTuple):
    """Properties of a request that routing depends on.

    :param service: name of the service.
    :param customer: name of the customer.
    :param deadline: seconds on the monotonic clock.
    :param prefix: hash of the cacheable prompt prefix, if any.
    :param adapter: adapter that the backend must have loaded.
    :param version: model version that the backend must run.
    :param priority: see :class:`Priority`.
    :param excluded: names of backends that must not be chosen.
    :param prompt_tokens: estimated length of the prompt, in tokens.
    :param idempotent: only idempotent requests are used as probes.
    :param zone_preference: backends to prefer at equal load.
    """

    service: str
    customer: str
    deadline: float
    prefix: bytes | None = None
    adapter: str | None = None
    version: str | None = None
    priority: Priority = Priority.normal
    excluded: frozenset[str] = frozenset()
    prompt_tokens: int = 0
    idempotent: bool = True
    zone_preference: ZonePreference = ZonePreference.same_zone


class Basis(StrEnum):
    """Why a backend was chosen; a metric label."""

    affinity = 'affinity'
    load = 'load'
    probe = 'probe'
    panic = 'panic'


@dataclass(frozen=True)
class Choice:
    """A backend was chosen.

    :param host: the backend's host.
    :param basis: why it was chosen.
    """

    host: Host
    basis: Basis


@dataclass(frozen=True)
class NoCandidate:
    """No backend matches the request's service, version and adapter."""


@dataclass(frozen=True)
class AllLeaving:
    """Every matching backend is draining or excluded."""


@dataclass(frozen=True)
class Overloaded:
    """Every usable backend is at the load bound of the priority.

    :param priority: the request's priority.
    """

    priority: Priority


@dataclass(frozen=True)
class DeadlinePassed:
    """The deadline passed before a backend was chosen."""


Reason = NoCandidate | AllLeaving | Overloaded | DeadlinePassed


@dataclass(frozen=True)
class NoBackend:
    """No backend was chosen, so nothing was sent.

    :param reason: why there is no backend.
    :param retry_after: seconds after which to retry.
    """

    reason: Reason
    retry_after: float
