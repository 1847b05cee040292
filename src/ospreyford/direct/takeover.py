"""Search for a backend that takes a stream over from another one."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.direct.attempts import BackendAttempt
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

    @property
    def is_active(self) -> bool:
        """Whether a search goes on, or its result was not taken."""
        return self._search is not None

    async def begin(self, current: BackendState) -> None:
        """Begin to search, if the request may be sent again.

        :param current: the stream's own backend.
        """
        if self._search is None and self._call.is_retryable():
            self._search = await curio.spawn(self._find, current, daemon=True)

    def has_ended(self) -> bool:
        """Check whether a search has ended.

        :returns: whether its result can be taken.
        """
        return self._search is not None and self._search.terminated

    async def take(self) -> BackendAttempt | None:
        """Take the result of a search that has ended.

        :returns: an attempt whose backend has sent events; ``None`` if no
            backend takes the stream.
        """
        search = self._search
        self._search = None
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

    async def _find(self, current: BackendState) -> BackendAttempt | None:
        selected = await self._selector.select(may_leave=False)
        # With no attempt left for others, those that were tried are selected.
        while isinstance(selected, BackendState) and selected is not current:
            attempt = BackendAttempt(self._call, selected, self._context)
            if await self._try(attempt):
                return attempt
            selected = await self._selector.select(may_leave=False)
        return None

    async def _try(self, attempt: BackendAttempt) -> bool:
        """Wait for the first events of a backend.

        :returns: whether they came; otherwise the attempt is closed.
        """
        is_streaming = False
        try:
            is_streaming = await self._read_first(attempt)
        finally:
            if not is_streaming:
                await attempt.drop()
        return is_streaming

    async def _read_first(self, attempt: BackendAttempt) -> bool:
        outcome = await attempt.start()
        if not isinstance(outcome, Streaming):
            self._record(outcome, attempt)
            return False
        if self._call.room is not None:
            self._call.room.record_start()
        try:
            attempt.first_piece = await attempt.request.read_piece()
        except HttpError:
            attempt.backend.record_failure(time.monotonic())
            return False
        return attempt.first_piece is not None

    def _record(self, outcome: AttemptOutcome, attempt: BackendAttempt) -> None:
        match outcome:
            case Refused(head=head):
                attempt.record_refusal(head)
            case Withheld():
                attempt.record.is_connected = False
            case Lost() | Replied():
                attempt.backend.record_failure(time.monotonic())
