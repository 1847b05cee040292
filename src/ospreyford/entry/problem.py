"""Encodes outcomes without a response as problem documents (RFC 9457)."""

from __future__ import annotations

import math
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple, TypedDict

import msgspec

from ospreyford.entry.outcome import Cause, NotRun, Unknown

if TYPE_CHECKING:
    from ospreyford.http.message import Headers

PROBLEM_TYPE_PREFIX = 'urn:ospreyford:problem:'
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

#: Caller errors, sent without ``retry-after``: a retry cannot succeed.
CALLER_ERROR_STATUSES = MappingProxyType(
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

#: Statuses that differ from the default of the outcome.
SERVICE_ERROR_STATUSES = MappingProxyType(
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


class ProblemResponse(NamedTuple):
    """An encoded problem document."""

    status: int
    headers: Headers
    body: bytes


def make_problem_response(
    outcome: NotRun | Unknown, request_id: str
) -> ProblemResponse:
    """Encode an outcome as a problem document.

    :param outcome: why there is no response.
    :param request_id: id of the request.
    :returns: status, header fields and body.
    """
    name = 'not-run' if isinstance(outcome, NotRun) else 'unknown'
    status = _select_status(outcome)
    retry_after = _compute_retry_after(outcome)
    problem = Problem(
        type=PROBLEM_TYPE_PREFIX + outcome.cause.value,
        title=outcome.cause.value.replace('-', ' '),
        status=status,
        outcome=name,
        cause=outcome.cause.value,
        request_id=request_id,
        retry_after=retry_after,
    )
    headers = [
        (b'content-type', CONTENT_TYPE),
        (b'ospreyford-outcome', name.encode()),
        (b'ospreyford-request-id', request_id.encode()),
    ]
    if retry_after is not None:
        headers.append((b'retry-after', str(retry_after).encode()))
    return ProblemResponse(status, tuple(headers), msgspec.json.encode(problem))


def _select_status(outcome: NotRun | Unknown) -> int:
    default = UNAVAILABLE if isinstance(outcome, NotRun) else BAD_GATEWAY
    caller_error = CALLER_ERROR_STATUSES.get(outcome.cause)
    return caller_error or SERVICE_ERROR_STATUSES.get(outcome.cause, default)


def _compute_retry_after(outcome: NotRun | Unknown) -> int | None:
    if outcome.cause in CALLER_ERROR_STATUSES:
        return None
    return max(math.ceil(outcome.retry_after), 1)
