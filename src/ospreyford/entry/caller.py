"""The caller's connection as the place where an answer goes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import h11

from ospreyford.entry.forwarding import select_headers
from ospreyford.entry.sink import CallerGone
from ospreyford.http.errors import ConnectionLost

if TYPE_CHECKING:
    from prometheus_client import Histogram

    from ospreyford.http.message import Headers
    from ospreyford.http.server import Exchange
    from ospreyford.observability.metrics import FlowMetrics

#: Kept although it is not forwarded towards back ends: with it a caller sees
#: by the length that an answer was cut.
LENGTH = b'content-length'
CHUNKED = b'transfer-encoding'


class CallerSink:
    """Relays an answer to the caller as it comes.

    :param exchange: the caller's request.
    :param extra: header fields that this system adds to the answer.
    :param flow: counts the time between two pieces.
    :param service: the service that the caller named.
    """

    def __init__(
        self,
        exchange: Exchange,
        extra: Headers,
        flow: FlowMetrics,
        service: str,
    ) -> None:
        self.first_at: float | None = None
        self.relayed_bytes = 0
        self._last_at: float | None = None
        self._token_gap = flow.token_gap
        self._gaps: Histogram | None = None
        self._service = service
        self._exchange = exchange
        self._extra = extra
        self._held: list[Any] = []

    async def begin(self, status: int, headers: Headers) -> None:
        """Relay the answer's head.

        :param status: HTTP status.
        :param headers: HTTP header fields of the back end.
        :raises CallerGone: nobody waits for it.
        """
        own = frozenset(name for name, _ in self._extra)
        kept = tuple(
            pair for pair in select_headers(headers) if pair[0] not in own
        )
        fields = (*_find_length(headers), *kept, *self._extra)
        self._held.append(self._exchange.make_head(status, fields))

    async def relay(self, content: bytes) -> None:
        """Relay a piece of the answer's body.

        :param content: the bytes.
        :raises CallerGone: nobody waits for it.
        """
        now = time.monotonic()
        if self._last_at is None:
            self.first_at = now
        else:
            # An answer has come: the service exists, and its name may be a
            # label. Of a refused request it is the caller's free choice.
            if self._gaps is None:
                self._gaps = self._token_gap.labels(self._service)
            self._gaps.observe(now - self._last_at)
        self._last_at = now
        self.relayed_bytes += len(content)
        self._held.append(h11.Data(data=content))

    async def finish(self) -> None:
        """Relay that the answer is whole.

        :raises CallerGone: nobody waits for it.
        """
        self._held.append(h11.EndOfMessage())

    async def flush(self, within: float) -> bool:
        """Send what was relayed, in one write if the caller keeps up.

        :param within: seconds to wait for the caller at most.
        :returns: whether all of it was sent.
        :raises CallerGone: nobody waits for it.
        """
        held = self._held
        self._held = []
        if held:
            self._exchange.add(held)
        try:
            return await self._exchange.push(within)
        except ConnectionLost:
            raise CallerGone from None

    def is_abandoned(self) -> bool:
        """Tell whether the caller has gone.

        :returns: whether nobody waits for the answer any more.
        """
        return self._exchange.is_abandoned()


def _find_length(headers: Headers) -> Headers:
    # Of two framings the chunked one holds (RFC 9112); the length beside it
    # says something else than what comes.
    if any(name == CHUNKED for name, _ in headers):
        return ()
    return tuple(pair for pair in headers if pair[0] == LENGTH)
