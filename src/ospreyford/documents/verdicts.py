"""What becomes of intents, pools and hosts when a route is resolved."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from ospreyford.documents.conflicts import Rule
from ospreyford.documents.mismatches import TermFailed


@dataclass(frozen=True)
class Won:
    """The intent is the one that counts."""


@dataclass(frozen=True)
class LostTo:
    """The intent matches, but another one wins by the rule."""

    document: str
    rule: Rule


@dataclass(frozen=True)
class CustomerNotSelected:
    """The intent is not about the customer."""

    because: TermFailed


@dataclass(frozen=True)
class ServiceNotSelected:
    """The intent is not about the service."""

    because: TermFailed


IntentVerdict: TypeAlias = (
    Won | LostTo | CustomerNotSelected | ServiceNotSelected
)


class IntentOutcome(NamedTuple):
    """What became of one routing intent."""

    document: str
    team: str
    verdict: IntentVerdict


@dataclass(frozen=True)
class Usable:
    """The host takes new work of the pool."""


@dataclass(frozen=True)
class Draining:
    """The pool selects the host, but a drain request does so too."""

    document: str
    reason: str


@dataclass(frozen=True)
class Leaving:
    """The pool selects the host, but the platform is taking it away."""


HostVerdict: TypeAlias = Usable | Draining | Leaving | TermFailed


class HostOutcome(NamedTuple):
    """What a pool makes of one host of its service."""

    host: str
    zone: str
    verdict: HostVerdict


@dataclass(frozen=True)
class PoolMissing:
    """The intent names a pool that no document in force describes."""


@dataclass(frozen=True)
class PoolOfOtherService:
    """The intent names a pool of another service."""

    service: str


@dataclass(frozen=True)
class PoolMembers:
    """The pool counts; ``hosts`` are all backend servers of its service."""

    document: str
    hosts: tuple[HostOutcome, ...]


PoolVerdict: TypeAlias = PoolMembers | PoolMissing | PoolOfOtherService


class PoolOutcome(NamedTuple):
    """What became of one pool of the winning intent."""

    pool: str
    verdict: PoolVerdict
