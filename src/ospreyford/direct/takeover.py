"""Search for a backend that takes a stream over from another one."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, Final

import curio

from ospreyford.direct.attempts import BackendAttempt
from ospreyford.direct.call import DECLINED
from ospreyford.direct.events import EventSplitter
from ospreyford.direct.registry import BackendState
from ospreyford.direct.verdicts import (
    AttemptOutcome,
    Lost,
    Refused,
    Replied,
    Streaming,
    Withheld,
)
from ospreyford.http.errors import HttpError
from ospreyford.observability.supervision import TaskFailed

if TYPE_CHECKING:
    from ospreyford.direct.backendselector import BackendSelector
    from ospreyford.direct.call import Call
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.events import StreamEvent

#: Silence after which another backend is asked to take a stream over; callers
#: disconnect after two seconds of it.
STALL_SECONDS: Final = 1.2
DATA_FIELD: Final = b'data'


class StreamTakeover:
    """Searches for another backend while a stream stays with its own.

    A stream is taken over by a backend that already sends its events: it is
    never given up for one that may refuse it.

    :param call: the request.
    :param context: shared state of the entry.
    :param selector: selects backends.
    """

    def __init__(
        self, call: Call, context: EntryContext, selector: BackendSelector
    ) -> None:
        self._call = call
        self._context = context
        self._selector = selector
        self._search: curio.Task | None = None
        self._own_ended = curio.Event()

    @property
    def is_active(self) -> bool:
        """Whether a search goes on, or its result was not taken."""
        return self._search is not None

    async def begin(self, current: BackendState) -> None:
        """Begin to search, if the request may be sent again.

        :param current: the stream's own backend.
        """
        if self._search is None and self._call.is_retryable():
            self._selector.passed_over = {current.server.id}
            self._own_ended = curio.Event()
            self._search = await curio.spawn(self._find, daemon=True)

    def has_ended(self) -> bool:
        """Check whether a search has ended.

        :returns: whether its result can be taken.
        """
        return self._search is not None and self._search.terminated

    async def wait(self) -> None:
        """Wait until the search ends; at once if there is none."""
        if self._search is not None:
            await self._search.wait()

    async def finish(self) -> BackendAttempt | None:
        """Wait for the search, as the stream's own backend has broken off.

        :returns: the result, see :meth:`take`.
        """
        await self._own_ended.set()
        await self.wait()
        return await self.take()

    async def take(self) -> BackendAttempt | None:
        """Take the result of a search that has ended.

        :returns: an attempt whose backend has sent the next event; ``None`` if
            no backend takes the stream.
        """
        search = self._search
        self._search = None
        self._selector.passed_over = None
        if search is None:
            return None
        error = search.exception
        if error is None:
            found: BackendAttempt | None = search.result
            return found
        if not isinstance(error, curio.CancelledError):
            failure = f'{type(error).__name__}: {error}'
            self._context.log.log_change(TaskFailed('takeover', failure))
        return None

    async def cancel(self) -> None:
        """End the search, and drop what it has found."""
        search = self._search
        if search is None:
            return
        await search.cancel()
        found = await self.take()
        if found is not None:
            await found.drop()

    async def _find(self) -> BackendAttempt | None:
        selected = await self._selector.select(may_leave=False)
        while isinstance(selected, BackendState):
            attempt = BackendAttempt(self._call, selected, self._context)
            if await self._try(attempt):
                return attempt
            if self._selector.passed_over is not None:
                self._selector.passed_over.add(selected.server.id)
            selected = await self._selector.select(may_leave=False)
        return None

    async def _try(self, attempt: BackendAttempt) -> bool:
        """Wait for the next event from a backend.

        :returns: whether it came; otherwise the attempt is closed.
        """
        # The last backend that may get the request has all the time there is.
        seconds = STALL_SECONDS if self._has_untried() else math.inf
        has_begun = False
        try:
            has_begun = await curio.timeout_after(
                min(seconds, self._call.compute_remaining(time.monotonic())),
                self._begin,
                attempt,
            )
        except (HttpError, curio.TaskTimeout):
            attempt.backend.record_failure(time.monotonic())
        finally:
            if not has_begun:
                await attempt.drop()
        return has_begun

    async def _begin(self, attempt: BackendAttempt) -> bool:
        outcome = await attempt.start()
        if not isinstance(outcome, Streaming):
            record_refusal(outcome, attempt)
            return False
        if self._call.room is not None:
            self._call.room.record_start()
        return await self._read_ahead(attempt)

    async def _read_ahead(self, attempt: BackendAttempt) -> bool:
        """Read until the next event that the caller needs, or the end."""
        buffers = self._context.pool.reading.buffers
        ahead = buffers.open()
        attempt.read_ahead = ahead
        with EventSplitter(buffers) as splitter:
            while True:
                piece = await attempt.request.read_piece()
                if piece is None:
                    attempt.has_ended = True
                    break
                ahead.add(piece)
                events = splitter.add(piece)
                attempt.request.charge_stream(len(events))
                if any(is_next(one, self._call.cursor) for one in events):
                    return True
            return not splitter.has_rest() and await self._is_end(attempt)

    async def _is_end(self, attempt: BackendAttempt) -> bool:
        """Check whether an end without events may be the stream's.

        While its own backend goes on, more events may come from there.
        """
        if not self._call.cursor or attempt.request.ends_with_connection():
            return False
        await self._own_ended.wait()
        return True

    def _has_untried(self) -> bool:
        tried = self._call.list_tried_backends()
        usable = self._selector.list_usable()
        return any(one.server.id not in tried for one in usable)


def record_refusal(outcome: AttemptOutcome, attempt: BackendAttempt) -> None:
    """Record that a backend does not take a stream over.

    :param outcome: of the attempt.
    :param attempt: the attempt.
    """
    match outcome:
        case Refused(head=head):
            attempt.record_refusal(head)
            attempt.record.outcome = DECLINED
        case Withheld():
            attempt.record.is_connected = False
        case Lost() | Replied():
            attempt.backend.record_failure(time.monotonic())


def is_next(event: StreamEvent, cursor: int | None) -> bool:
    """Check whether an event is the one that the caller needs next.

    :param event: an event of another backend.
    :param cursor: id of the last event that the caller has.
    :returns: whether it is.
    """
    if event.id is None:
        return cursor is None and DATA_FIELD in event.encoded
    return event.id == (cursor or 0) + 1
