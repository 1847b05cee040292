"""Forwarding of an event stream from a backend to a caller."""

from __future__ import annotations

import time
from collections.abc import AsyncGenerator, Callable, Sequence
from contextlib import aclosing
from enum import Enum
from typing import TYPE_CHECKING

import curio
import h11

from ospreyford.direct.events import EventSplitter
from ospreyford.http.errors import HttpError

if TYPE_CHECKING:
    from ospreyford.direct.backendrequest import BackendRequest
    from ospreyford.direct.beginnings import AnswerBeginning
    from ospreyford.direct.call import Call
    from ospreyford.direct.events import StreamEvent
    from ospreyford.http.server import Exchange

#: Silence after which a stream counts as lost; callers disconnect after two
#: seconds of it.
STALL_SECONDS = 1.2


class StreamResult(Enum):
    """How forwarding from one backend ended.

    Unless it is whole or migrated, the stream resumes elsewhere or is cut.
    """

    #: The stream is complete.
    whole = 'whole'
    #: The backend sent nothing for ``STALL_SECONDS``.
    silent = 'silent'
    #: The connection ended before the stream did.
    lost = 'lost'
    #: An event is missing.
    unordered = 'unordered'
    #: The stream ended within an event, or before the first one.
    partial = 'partial'
    #: The stream migrates to another backend.
    migrated = 'moved'


async def forward_stream(
    call: Call,
    backend_request: BackendRequest,
    exchange: Exchange,
    beginning: AnswerBeginning,
    should_migrate: Callable[[], bool],
) -> StreamResult:
    """Forward complete events as they arrive.

    :param call: the request; its cursor is advanced.
    :param backend_request: the request to the backend.
    :param exchange: the caller's response channel.
    :param beginning: is told of the events.
    :param should_migrate: called after each chunk to decide on a migration.
    :returns: how the stream ended.
    :raises ConnectionLost: the caller disconnected.
    """
    async with aclosing(backend_request.read_pieces()) as pieces:
        outcome = await _forward_events(
            pieces, call, exchange, beginning, should_migrate
        )
    # A backend that ends before its first event closes the connection as well.
    is_empty = backend_request.ends_with_connection() and not call.cursor
    if outcome is StreamResult.whole and is_empty:
        return StreamResult.partial
    return outcome


async def _forward_events(
    pieces: AsyncGenerator[bytes, None],
    call: Call,
    exchange: Exchange,
    beginning: AnswerBeginning,
    should_migrate: Callable[[], bool],
) -> StreamResult:
    splitter = EventSplitter()
    while True:
        try:
            piece = await curio.timeout_after(STALL_SECONDS, anext(pieces))
        except StopAsyncIteration:
            return (
                StreamResult.partial
                if splitter.has_rest()
                else StreamResult.whole
            )
        except HttpError:
            return StreamResult.lost
        except curio.TaskTimeout:
            return StreamResult.silent
        is_in_order = _forward_all(splitter.add(piece), call, exchange)
        beginning.record_events(call.cursor)
        await exchange.push(STALL_SECONDS)
        if not is_in_order:
            return StreamResult.unordered
        if should_migrate():
            return StreamResult.migrated


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
