"""Outcomes for intents, pools and hosts in route resolution."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from ospreyford.documents.conflicts import Rule
from ospreyford.documents.mismatches import TermFailed


@dataclass(frozen=True)
class Won:
    """The intent takes precedence over all others."""


@dataclass(frozen=True)
class LostTo:
    """The intent matches, but another one takes precedence."""

    document: str
    rule: Rule


@dataclass(frozen=True)
class CustomerNotSelected:
    """The intent does not select the customer."""

    because: TermFailed


@dataclass(frozen=True)
class ServiceNotSelected:
    """The intent does not select the service."""

    because: TermFailed


IntentVerdict: TypeAlias = (
    Won | LostTo | CustomerNotSelected | ServiceNotSelected
)


class IntentOutcome(NamedTuple):
    """The outcome for one routing intent."""

    document: str
    team: str
    verdict: IntentVerdict


@dataclass(frozen=True)
class Usable:
    """The host accepts new work for the pool."""


@dataclass(frozen=True)
class Draining:
    """The pool selects the host, but a drain request applies to it."""

    document: str
    reason: str


@dataclass(frozen=True)
class Leaving:
    """The pool selects the host, but the platform is removing it."""


HostVerdict: TypeAlias = Usable | Draining | Leaving | TermFailed


class HostOutcome(NamedTuple):
    """The outcome for one host of the pool's service."""

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
    """The pool is used; ``hosts`` are all hosts of its service."""

    document: str
    hosts: tuple[HostOutcome, ...]


PoolVerdict: TypeAlias = PoolMembers | PoolMissing | PoolOfOtherService


class PoolOutcome(NamedTuple):
    """The outcome for one pool of the winning intent."""

    pool: str
    verdict: PoolVerdict
