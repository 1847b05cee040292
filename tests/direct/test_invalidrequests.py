"""Responses to requests that were not read."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from ospreyford.direct.invalidrequests import respond_to_error
from ospreyford.http.errors import (
    BadMessage,
    BodyTooLarge,
    BufferFull,
    ConnectionLost,
    HttpError,
    TooSlow,
)


class Refusals:
    """In place of a caller's connection."""

    def __init__(self) -> None:
        self.sent: list[tuple[int, bytes | None]] = []

    async def refuse(self, status: int, body: bytes, headers: Any) -> None:
        self.sent.append((status, dict(headers).get(b'retry-after')))


@pytest.mark.parametrize(
    ('error', 'sent'),
    [
        (BadMessage(431, ''), [(431, None)]),
        (BodyTooLarge(1), [(413, None)]),
        (BufferFull(1), [(503, b'0.05')]),
        (TooSlow('body', 1), [(408, None)]),
        (ConnectionLost(), []),
    ],
)
def test_request_that_was_not_read_is_refused(
    error: HttpError, sent: list[tuple[int, bytes | None]]
) -> None:
    """A request without memory for it was closed without an answer."""
    connection: Any = Refusals()
    curio.run(respond_to_error, error, connection)
    assert connection.sent == sent
