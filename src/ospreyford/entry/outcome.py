"""How a request or one attempt at it can end."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias


class Cause(StrEnum):
    """Why a request was not answered."""

    bad_request = 'bad-request'
    unknown_service = 'unknown-service'
    missing_customer = 'missing-customer'
    unknown_customer = 'unknown-customer'
    bad_deadline = 'bad-deadline'
    bad_key = 'bad-key'
    key_reused = 'key-reused'
    key_expired = 'key-expired'
    body_too_large = 'body-too-large'
    too_slow = 'too-slow'
    not_ready = 'not-ready'
    limited = 'limited'
    overloaded = 'overloaded'
    no_route = 'no-route'
    no_backend = 'no-backend'
    unreachable = 'unreachable'
    backend_refused = 'backend-refused'
    draining = 'draining'
    record_full = 'record-full'
    deadline = 'deadline'
    voided = 'voided'
    agent_restarted = 'agent-restarted'
    agent_lost = 'agent-lost'
    backend_lost = 'backend-lost'
    answer_dropped = 'answer-dropped'
    home_unreachable = 'home-unreachable'


@dataclass(frozen=True)
class Answered:
    """The whole answer was relayed."""


@dataclass(frozen=True)
class NotRun:
    """It is proved that the request did not run and will not.

    :param cause: why.
    :param retry_after: seconds until one may come again.
    """

    cause: Cause
    retry_after: float


@dataclass(frozen=True)
class Unknown:
    """Nobody can say whether the request ran.

    :param cause: why.
    :param retry_after: seconds until one may ask again.
    """

    cause: Cause
    retry_after: float


@dataclass(frozen=True)
class Cut:
    """The answer broke off after the caller had seen its beginning."""

    cause: Cause


@dataclass(frozen=True)
class Abandoned:
    """The caller went away before the end."""


@dataclass(frozen=True)
class Moved:
    """The key is to run on another of its homes."""


Outcome: TypeAlias = Answered | NotRun | Unknown | Cut | Abandoned
AttemptOutcome: TypeAlias = Outcome | Moved
