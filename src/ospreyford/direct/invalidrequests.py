"""Responses to callers' invalid requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ospreyford.direct.messages import (
    CONTENT_TYPE,
    encode_problem,
    format_retry_after,
)
from ospreyford.direct.verdicts import Cause
from ospreyford.http.errors import (
    BadMessage,
    BodyTooLarge,
    BufferFull,
    HttpError,
    TooSlow,
)

if TYPE_CHECKING:
    from ospreyford.http.server import ServerConnection

REQUEST_TIMEOUT: Final = 408
TOO_LARGE: Final = 413
UNAVAILABLE: Final = 503
#: Retry time if there is no memory for a request; retries reach other entries.
FULL_RETRY_AFTER_SECONDS: Final = 0.05


async def respond_to_error(
    error: HttpError, connection: ServerConnection
) -> None:
    """Respond to an invalid request where the protocol still allows it.

    :param error: the error.
    :param connection: the caller's connection.
    """
    match error:
        case BadMessage(status=status):
            body = encode_problem(Cause.garbled, '')
            await connection.refuse(status, body, (CONTENT_TYPE,))
        case BodyTooLarge():
            body = encode_problem(Cause.refused, '')
            await connection.refuse(TOO_LARGE, body, (CONTENT_TYPE,))
        case BufferFull():
            body = encode_problem(Cause.overloaded, '')
            retry_after = format_retry_after(FULL_RETRY_AFTER_SECONDS)
            await connection.refuse(
                UNAVAILABLE, body, (CONTENT_TYPE, *retry_after)
            )
        case TooSlow():
            body = encode_problem(Cause.out_of_time, '')
            await connection.refuse(REQUEST_TIMEOUT, body, (CONTENT_TYPE,))
