"""One attempt of a request, with what is counted of it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from ospreyford.direct.backendrequest import BackendRequest
from ospreyford.direct.call import DROPPED, IN_FLIGHT, SHED, Attempt
from ospreyford.direct.verdicts import AttemptOutcome, Cause

if TYPE_CHECKING:
    from ospreyford.direct.call import Call
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.registry import BackendState
    from ospreyford.http.buffers import MessageBuffer
    from ospreyford.http.message import Response

MILLISECONDS: Final = 1000


class BackendAttempt:
    """Sends a request to a backend; must be closed.

    :param call: the request.
    :param backend: the backend.
    :param context: shared state of the entry.
    """

    def __init__(
        self, call: Call, backend: BackendState, context: EntryContext
    ) -> None:
        self.backend = backend
        self.request = BackendRequest(call, backend.server, context.resources)
        self.record = Attempt(
            backend.server.id,
            int((time.monotonic() - call.started_at) * MILLISECONDS),
            room=call.room,
        )
        #: Bytes of a stream that were read ahead.
        self.read_ahead: MessageBuffer | None = None
        #: Whether they are all of it.
        self.has_ended = False
        self._context = context
        self._is_open = True
        call.attempts.append(self.record)
        backend.in_flight += 1
        context.zones.under_way[backend.server.zone] += 1

    async def start(self) -> AttemptOutcome:
        """Send the request and wait for the response head.

        :returns: the outcome; a plain response is read completely.
        """
        outcome = await self.request.start()
        self.record.outcome = type(outcome).__name__
        self.record.details = self.request.describe_response()
        return outcome

    async def read_piece(self) -> bytes | None:
        """Read the next piece of a stream.

        :returns: the piece; ``None`` at the end.
        :raises HttpError: the stream was cut.
        """
        if self.read_ahead is not None:
            ahead = self.read_ahead.take_all()
            self.read_ahead = None
            if ahead:
                return ahead
        return None if self.has_ended else await self.request.read_piece()

    def record_refusal(self, head: Response | None) -> Cause:
        """Record that the backend has not run the request.

        :param head: its response, or ``None`` if no connection could be opened.
        :returns: the cause, for the caller.
        """
        self.record.is_connected = head is not None
        now = time.monotonic()
        if not self._context.declarations.accepts(self.backend.server, now):
            self.record.outcome = SHED
        self.backend.record_failure(now)
        return Cause.refused if head else Cause.unreachable

    async def drop(self) -> None:
        """Close an attempt of which nothing is needed any more."""
        if self.record.outcome in {IN_FLIGHT, 'Streaming'}:
            self.record.outcome = DROPPED
        await self.aclose()

    async def aclose(self) -> None:
        """Release the connection, or reset it if the response is incomplete."""
        if not self._is_open:
            return
        self._is_open = False
        if self.read_ahead is not None:
            self.read_ahead.close()
        self.backend.in_flight -= 1
        self._context.zones.under_way[self.backend.server.zone] -= 1
        await self.request.aclose()
