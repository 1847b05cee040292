"""Responses to callers' invalid requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ospreyford.direct.messages import CONTENT_TYPE, encode_problem
from ospreyford.direct.verdicts import Cause
from ospreyford.http.errors import (
    BadMessage,
    BodyTooLarge,
    HttpError,
    TooSlow,
)

if TYPE_CHECKING:
    from ospreyford.http.server import ServerConnection

REQUEST_TIMEOUT: Final = 408
TOO_LARGE: Final = 413


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
        case TooSlow():
            body = encode_problem(Cause.out_of_time, '')
            await connection.refuse(REQUEST_TIMEOUT, body, (CONTENT_TYPE,))
