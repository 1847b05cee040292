"""Problem documents (RFC 9457): what a caller is told in place of an answer."""

from __future__ import annotations

import math
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple, TypedDict

import msgspec

from ospreyford.entry.outcome import Cause, NotRun, Unknown

if TYPE_CHECKING:
    from ospreyford.http.message import Headers

TYPE_PREFIX = 'urn:ospreyford:problem:'
CONTENT_TYPE = b'application/problem+json'
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
TOO_LARGE = 413
UNPROCESSABLE = 422
TIMED_OUT = 408
TOO_MANY = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

#: Causes that are the caller's own doing, with their status. The same request
#: will fare no better later, so no time to come back is given.
CALLER_FAULTS = MappingProxyType(
    {
        Cause.bad_request: BAD_REQUEST,
        Cause.unknown_service: NOT_FOUND,
        Cause.missing_customer: BAD_REQUEST,
        Cause.unknown_customer: NOT_FOUND,
        Cause.bad_deadline: BAD_REQUEST,
        Cause.bad_key: BAD_REQUEST,
        Cause.key_reused: UNPROCESSABLE,
        Cause.key_expired: CONFLICT,
        Cause.body_too_large: TOO_LARGE,
        Cause.too_slow: TIMED_OUT,
    },
)

#: Statuses of the other causes where they differ from the outcome's usual.
SERVICE_STATUS = MappingProxyType(
    {
        Cause.limited: TOO_MANY,
        Cause.deadline: GATEWAY_TIMEOUT,
    },
)


class Problem(TypedDict):
    """The members of a problem document.

    ``outcome`` is ``not-run`` or ``unknown``; ``cause`` one of
    :class:`~ospreyford.entry.outcome.Cause`; ``retry_after`` in seconds.
    """

    type: str
    title: str
    status: int
    outcome: str
    cause: str
    request_id: str
    retry_after: int | None


class ProblemAnswer(NamedTuple):
    """A problem document ready to be sent."""

    status: int
    headers: Headers
    body: bytes


def make_problem(outcome: NotRun | Unknown, request_id: str) -> ProblemAnswer:
    """Put an outcome into a problem document.

    :param outcome: why there is no answer.
    :param request_id: the request's id.
    :returns: status, header fields and body.
    """
    name = 'not-run' if isinstance(outcome, NotRun) else 'unknown'
    status = _find_status(outcome)
    wait = _find_wait(outcome)
    problem = Problem(
        type=TYPE_PREFIX + outcome.cause.value,
        title=outcome.cause.value.replace('-', ' '),
        status=status,
        outcome=name,
        cause=outcome.cause.value,
        request_id=request_id,
        retry_after=wait,
    )
    headers = [
        (b'content-type', CONTENT_TYPE),
        (b'ospreyford-outcome', name.encode()),
        (b'ospreyford-request-id', request_id.encode()),
    ]
    if wait is not None:
        headers.append((b'retry-after', str(wait).encode()))
    return ProblemAnswer(status, tuple(headers), msgspec.json.encode(problem))


def _find_status(outcome: NotRun | Unknown) -> int:
    usual = UNAVAILABLE if isinstance(outcome, NotRun) else BAD_GATEWAY
    fault = CALLER_FAULTS.get(outcome.cause)
    return fault or SERVICE_STATUS.get(outcome.cause, usual)


def _find_wait(outcome: NotRun | Unknown) -> int | None:
    if outcome.cause in CALLER_FAULTS:
        return None
    return max(math.ceil(outcome.retry_after), 1)
