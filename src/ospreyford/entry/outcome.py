"""Outcomes of requests and attempts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias


class Cause(StrEnum):
    """Why a request got no complete response."""

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
    """The complete response was relayed."""


@dataclass(frozen=True)
class NotRun:
    """The request did not run and will not run.

    :param cause: cause.
    :param retry_after: seconds until a retry.
    """

    cause: Cause
    retry_after: float


@dataclass(frozen=True)
class Unknown:
    """The request may or may not have run.

    :param cause: cause.
    :param retry_after: seconds until a retry.
    """

    cause: Cause
    retry_after: float


@dataclass(frozen=True)
class Cut:
    """The response was truncated after its head was relayed."""

    cause: Cause


@dataclass(frozen=True)
class Abandoned:
    """The caller disconnected before the response was complete."""


@dataclass(frozen=True)
class Moved:
    """The idempotency key must run on another home."""


Outcome: TypeAlias = Answered | NotRun | Unknown | Cut | Abandoned
AttemptOutcome: TypeAlias = Outcome | Moved
