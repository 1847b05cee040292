"""Relays a response to the caller's connection."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import h11

from ospreyford.entry.forwarding import select_headers
from ospreyford.entry.sink import CallerDisconnected
from ospreyford.http.errors import ConnectionLost

if TYPE_CHECKING:
    from prometheus_client import Histogram

    from ospreyford.http.message import Headers
    from ospreyford.http.server import Exchange
    from ospreyford.observability.metrics import FlowMetrics

#: Forwarded to callers, so that they detect truncated responses.
CONTENT_LENGTH_HEADER = b'content-length'
TRANSFER_ENCODING_HEADER = b'transfer-encoding'


class CallerSink:
    """Buffers and relays a response to the caller.

    :param exchange: the caller's request.
    :param added_headers: header fields to add to the response.
    :param flow: records the time between content chunks.
    :param service: the service that the caller named.
    """

    def __init__(
        self,
        exchange: Exchange,
        added_headers: Headers,
        flow: FlowMetrics,
        service: str,
    ) -> None:
        self.first_content_at: float | None = None
        self.relayed_bytes = 0
        self._last_content_at: float | None = None
        self._token_gap = flow.token_gap
        self._service_token_gap: Histogram | None = None
        self._service = service
        self._exchange = exchange
        self._added_headers = added_headers
        self._pending: list[Any] = []

    async def begin(self, status: int, headers: Headers) -> None:
        """Relay the response head.

        :param status: HTTP status.
        :param headers: HTTP header fields from the backend.
        :raises CallerDisconnected: the caller disconnected.
        """
        added_names = frozenset(name for name, _ in self._added_headers)
        forwarded = tuple(
            pair
            for pair in select_headers(headers)
            if pair[0] not in added_names
        )
        fields = (
            *_select_content_length(headers),
            *forwarded,
            *self._added_headers,
        )
        self._pending.append(self._exchange.make_head(status, fields))

    async def relay(self, content: bytes) -> None:
        """Relay a chunk of the response body.

        :param content: the bytes.
        :raises CallerDisconnected: the caller disconnected.
        """
        now = time.monotonic()
        if self._last_content_at is None:
            self.first_content_at = now
        else:
            # Names of unknown services must not become metric labels.
            if self._service_token_gap is None:
                self._service_token_gap = self._token_gap.labels(self._service)
            self._service_token_gap.observe(now - self._last_content_at)
        self._last_content_at = now
        self.relayed_bytes += len(content)
        self._pending.append(h11.Data(data=content))

    async def finish(self) -> None:
        """Relay the end of the response.

        :raises CallerDisconnected: the caller disconnected.
        """
        self._pending.append(h11.EndOfMessage())

    async def flush(self, timeout_seconds: float) -> bool:
        """Send buffered content in one write.

        :param timeout_seconds: time to wait for the caller.
        :returns: whether everything was sent.
        :raises CallerDisconnected: the caller disconnected.
        """
        pending = self._pending
        self._pending = []
        if pending:
            self._exchange.add(pending)
        try:
            return await self._exchange.push(timeout_seconds)
        except ConnectionLost:
            raise CallerDisconnected from None

    def is_abandoned(self) -> bool:
        """Tell whether the caller disconnected.

        :returns: whether the response has no receiver.
        """
        return self._exchange.is_abandoned()


def _select_content_length(headers: Headers) -> Headers:
    # Transfer-Encoding overrides Content-Length (RFC 9112).
    if any(name == TRANSFER_ENCODING_HEADER for name, _ in headers):
        return ()
    return tuple(pair for pair in headers if pair[0] == CONTENT_LENGTH_HEADER)
