"""Forwarding of an event stream from a backend to a caller."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import curio
import h11

from ospreyford.direct.attempts import BackendAttempt
from ospreyford.direct.events import EventSplitter
from ospreyford.direct.takeover import STALL_SECONDS
from ospreyford.http.errors import BufferFull, HttpError

if TYPE_CHECKING:
    from ospreyford.direct.beginnings import AnswerBeginning
    from ospreyford.direct.call import Call
    from ospreyford.direct.events import StreamEvent
    from ospreyford.direct.takeover import StreamTakeover
    from ospreyford.http.buffers import BufferPool
    from ospreyford.http.server import Exchange

#: Work of reading beside a search, in events of a stream.
SEARCH_EVENTS = 32


class StreamResult(Enum):
    """How forwarding from one backend ended.

    Unless it is whole, the stream resumes elsewhere or is cut.
    """

    #: The stream is complete.
    whole = 'whole'
    #: The connection ended before the stream did.
    lost = 'lost'
    #: An event is missing.
    unordered = 'unordered'
    #: The stream ended within an event, or before the first one.
    partial = 'partial'
    #: An event does not end.
    oversized = 'oversized'


@dataclass(frozen=True)
class TakenOver:
    """Another backend goes on with the stream.

    :param successor: the attempt at the other backend.
    :param is_migrated: whether the stream's own backend was slow; it was silent
        otherwise.
    """

    successor: BackendAttempt
    is_migrated: bool


@dataclass(frozen=True)
class _Piece:
    """What a backend sent.

    :param content: bytes of the body; ``None`` at its end.
    """

    content: bytes | None


class StreamForwarder:
    """Forwards complete events as they arrive.

    A backend's silence never ends a stream. It stays with its backend until
    that one ends it, or another one has begun to send. Bytes without the end of
    an event are silence, too.

    :param call: the request; its cursor is advanced.
    :param attempt: the attempt at the backend.
    :param exchange: the caller's response channel.
    :param takeover: searches for another backend.
    :param buffers: limits the memory of partial events.
    :param should_migrate: called after each chunk to decide on a migration.
    """

    def __init__(
        self,
        call: Call,
        attempt: BackendAttempt,
        exchange: Exchange,
        takeover: StreamTakeover,
        buffers: BufferPool,
        should_migrate: Callable[[], bool],
    ) -> None:
        self._call = call
        self._attempt = attempt
        self._exchange = exchange
        self._takeover = takeover
        self._should_migrate = should_migrate
        self._is_migrating = False
        self._may_migrate = True
        self._buffers = buffers
        # Since the last event; ``None`` until the next one is waited for.
        self._silent_at: float | None = None

    async def run(self, beginning: AnswerBeginning) -> StreamResult | TakenOver:
        """Forward until the stream ends or is taken over.

        :param beginning: is told of the events.
        :returns: how forwarding ended.
        :raises ConnectionLost: the caller disconnected.
        """
        try:
            ended = await self._forward(beginning)
            if ended is StreamResult.whole or isinstance(ended, TakenOver):
                return ended
            # What the search finds is all that is left.
            successor = await self._takeover.finish()
        finally:
            await self._takeover.cancel()
        return TakenOver(successor, is_migrated=False) if successor else ended

    async def _forward(
        self, beginning: AnswerBeginning
    ) -> StreamResult | TakenOver:
        with EventSplitter(self._buffers) as splitter:
            while True:
                try:
                    received = await self._receive()
                except HttpError:
                    return StreamResult.lost
                if isinstance(received, TakenOver):
                    return received
                if received.content is None:
                    return self._judge_end(has_rest=splitter.has_rest())
                try:
                    events = splitter.add(received.content)
                except BufferFull:
                    return StreamResult.oversized
                is_in_order = await self._forward_events(events)
                beginning.record_events(self._call.cursor)
                if not is_in_order:
                    return StreamResult.unordered
                await self._consider_migration()

    async def _forward_events(self, events: Sequence[StreamEvent]) -> bool:
        """Forward events, and count them as a sign of the backend.

        :returns: whether they are in sequence.
        """
        if events:
            self._silent_at = None
            self._attempt.request.charge_stream(len(events))
            if self._takeover.is_active and not self._is_migrating:
                await self._takeover.cancel()
        is_in_order = _forward_all(events, self._call, self._exchange)
        if not await self._exchange.push(STALL_SECONDS):
            # The backend is not silent while its caller does not read.
            self._silent_at = None
        return is_in_order

    def _judge_end(self, *, has_rest: bool) -> StreamResult:
        # A backend that ends before its first event closes the connection as
        # well.
        is_empty = (
            not self._call.cursor
            and self._attempt.request.ends_with_connection()
        )
        if has_rest or is_empty:
            return StreamResult.partial
        return StreamResult.whole

    async def _receive(self) -> _Piece | TakenOver:
        """Wait for the backend, or for one that takes the stream over."""
        while True:
            successor = await self._take_successor()
            if successor is not None:
                return TakenOver(successor, self._is_migrating)
            if self._takeover.is_active:
                piece = await self._read_beside_search()
            else:
                piece = await self._read_until_silent()
            if piece is not None:
                return piece

    async def _read_until_silent(self) -> _Piece | None:
        """Wait for the backend.

        :returns: what it sent; ``None`` if it is silent.
        """
        now = time.monotonic()
        if self._silent_at is None:
            self._silent_at = now + STALL_SECONDS
        seconds = self._silent_at - now
        if seconds > 0:
            try:
                return _Piece(
                    await curio.timeout_after(seconds, self._attempt.read_piece)
                )
            except curio.TaskTimeout:
                """The backend is silent."""
        await self._search()
        return None

    async def _read_beside_search(self) -> _Piece | None:
        """Wait for the backend until the search ends.

        :returns: what it sent; ``None`` if the search ended first.
        """
        async with curio.TaskGroup(wait=any) as group:
            reading = await group.spawn(self._attempt.read_piece)
            await group.spawn(self._takeover.wait)
        error = reading.exception
        if isinstance(error, curio.CancelledError):
            return None
        if error is not None:
            raise error
        self._attempt.request.charge_stream(SEARCH_EVENTS)
        return _Piece(reading.result)

    async def _search(self) -> None:
        self._silent_at = None
        backend = self._attempt.backend
        backend.record_failure(time.monotonic())
        await self._takeover.begin(backend)

    async def _take_successor(self) -> BackendAttempt | None:
        if not self._takeover.has_ended():
            return None
        successor = await self._takeover.take()
        if self._is_migrating and successor is None:
            self._is_migrating = False
            self._may_migrate = False
        return successor

    async def _consider_migration(self) -> None:
        if self._takeover.is_active or not self._may_migrate:
            return
        if self._should_migrate():
            self._is_migrating = True
            await self._takeover.begin(self._attempt.backend)


def _forward_all(
    events: Sequence[StreamEvent], call: Call, exchange: Exchange
) -> bool:
    """Queue events for the caller, without duplicates.

    :returns: whether they are in sequence; after a gap the stream must resume
        at another backend.
    """
    forwarded: list[bytes] = []
    is_in_order = all([_select(event, call, forwarded) for event in events])
    if forwarded:
        exchange.add((h11.Data(data=b''.join(forwarded)),))
    if events:
        call.record_event(time.monotonic())
    return is_in_order


def _select(event: StreamEvent, call: Call, forwarded: list[bytes]) -> bool:
    """Append an event to those to be forwarded, unless it is a duplicate.

    :returns: whether it is in sequence.
    """
    if event.id is not None and call.cursor is not None:
        if event.id <= call.cursor:
            return True
        if event.id > call.cursor + 1:
            return False
    if event.id is not None:
        call.cursor = event.id
    forwarded.append(event.encoded)
    return True
