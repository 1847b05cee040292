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
from ospreyford.http.errors import HttpError

if TYPE_CHECKING:
    from ospreyford.direct.beginnings import AnswerBeginning
    from ospreyford.direct.call import Call
    from ospreyford.direct.events import StreamEvent
    from ospreyford.direct.takeover import StreamTakeover
    from ospreyford.http.server import Exchange


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
    that one ends it, or another one has begun to send.

    :param call: the request; its cursor is advanced.
    :param attempt: the attempt at the backend.
    :param exchange: the caller's response channel.
    :param takeover: searches for another backend.
    :param should_migrate: called after each chunk to decide on a migration.
    """

    def __init__(
        self,
        call: Call,
        attempt: BackendAttempt,
        exchange: Exchange,
        takeover: StreamTakeover,
        should_migrate: Callable[[], bool],
    ) -> None:
        self._call = call
        self._attempt = attempt
        self._exchange = exchange
        self._takeover = takeover
        self._should_migrate = should_migrate
        self._is_migrating = False
        self._may_migrate = True

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
        splitter = EventSplitter()
        while True:
            try:
                received = await self._receive()
            except HttpError:
                return StreamResult.lost
            if isinstance(received, TakenOver):
                return received
            if received.content is None:
                return self._judge_end(has_rest=splitter.has_rest())
            events = splitter.add(received.content)
            is_in_order = _forward_all(events, self._call, self._exchange)
            beginning.record_events(self._call.cursor)
            await self._exchange.push(STALL_SECONDS)
            if not is_in_order:
                return StreamResult.unordered
            await self._consider_migration()

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
        try:
            piece = await curio.timeout_after(
                STALL_SECONDS, self._attempt.read_piece
            )
        except curio.TaskTimeout:
            await self._search()
            return None
        return _Piece(piece)

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
        if not self._is_migrating:
            await self._takeover.cancel()
        return _Piece(reading.result)

    async def _search(self) -> None:
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
    is_in_order = all([_forward(event, call, exchange) for event in events])
    if events:
        call.record_event(time.monotonic())
    return is_in_order


def _forward(event: StreamEvent, call: Call, exchange: Exchange) -> bool:
    """Queue an event for the caller unless it is a duplicate.

    :returns: whether it is in sequence; after a gap the stream must resume at
        another backend.
    """
    if event.id is not None and call.cursor is not None:
        if event.id <= call.cursor:
            return True
        if event.id > call.cursor + 1:
            return False
    if event.id is not None:
        call.cursor = event.id
    exchange.add((h11.Data(data=event.encoded),))
    return True
