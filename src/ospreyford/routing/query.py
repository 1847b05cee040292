"""Question to the router and its answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.documents.intents import ZonePreference

if TYPE_CHECKING:
    from ospreyford.ports.fleet import Host


class Identity(NamedTuple):
    """The entry that routes: its name, availability zone and region."""

    name: str
    zone: str
    region: str


class Priority(IntEnum):
    """Priority of a request; a higher one may use more of the capacity."""

    low = 0
    normal = 1
    high = 2


class Outcome(StrEnum):
    """How an attempt at a backend ended, as the router sees it.

    ``cancelled`` (by the caller, or a hedge that lost) says nothing about
    the backend's health. ``outrun`` is a first attempt that a later hedge
    overtook: its answer would have taken at least so long.
    """

    answered = 'answered'
    failed = 'failed'
    cancelled = 'cancelled'
    outrun = 'outrun'


class Attempt(StrEnum):
    """Why an attempt is sent; only first attempts earn budget."""

    first = 'first'
    retry = 'retry'
    hedge = 'hedge'


class RoutingQuery(NamedTuple):
    """What the router must know of a request.

    :param service: name of the service.
    :param customer: name of the customer.
    :param deadline: seconds on the monotonic clock.
    :param prefix: hash of the cacheable prompt prefix, if any.
    :param adapter: adapter that the backend must have loaded.
    :param version: model version that the backend must run.
    :param priority: see :class:`Priority`.
    :param excluded: names of backends that must not be chosen.
    :param prompt_tokens: estimated length of the prompt.
    :param idempotent: only idempotent requests are used as probes.
    :param zone_preference: which backends come first at equal load.
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
    """Why this backend was chosen; a counter's label."""

    affinity = 'affinity'
    load = 'load'
    probe = 'probe'
    panic = 'panic'


@dataclass(frozen=True)
class Choice:
    """A backend was chosen.

    :param host: the backend.
    :param basis: what decided it.
    """

    host: Host
    basis: Basis


@dataclass(frozen=True)
class NoCandidate:
    """No backend matches the request's service, version and adapter."""


@dataclass(frozen=True)
class AllLeaving:
    """Every matching backend drains, leaves or is excluded."""


@dataclass(frozen=True)
class Overloaded:
    """Every usable backend is at the load bound of the priority.

    :param priority: the request's priority.
    """

    priority: Priority


@dataclass(frozen=True)
class DeadlinePassed:
    """The deadline was over before a backend was chosen."""


Reason = NoCandidate | AllLeaving | Overloaded | DeadlinePassed


@dataclass(frozen=True)
class NoBackend:
    """No backend was chosen, so nothing was sent.

    :param reason: why.
    :param retry_after: seconds after which coming back may help.
    """

    reason: Reason
    retry_after: float
