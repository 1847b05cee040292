"""A stream on its way from a back end to a caller."""

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
    from ospreyford.direct.call import Call
    from ospreyford.direct.events import StreamEvent
    from ospreyford.http.server import Exchange

#: A stream that is silent for so long counts as lost, in seconds. Callers
#: leave after two seconds of silence.
STALL_SECONDS = 1.2


class StreamResult(Enum):
    """How the events of one back end ended."""

    #: The stream came to its end.
    whole = 'whole'
    #: It broke off: it must go on at another back end, or be cut.
    broken = 'broken'
    #: It was left for another back end.
    migrated = 'moved'


async def forward_stream(
    call: Call,
    sending: BackendRequest,
    exchange: Exchange,
    should_migrate: Callable[[], bool],
) -> StreamResult:
    """Pass whole events on as they come.

    :param call: the request; its cursor follows what the caller has.
    :param sending: the back end's side.
    :param exchange: the caller's side.
    :param should_move: asked after each event whether the stream is better
        off elsewhere.
    :returns: how the events ended.
    :raises ConnectionLost: the caller left.
    """
    async with aclosing(sending.read_pieces()) as pieces:
        return await _forward_events(pieces, call, exchange, should_migrate)


async def _forward_events(
    pieces: AsyncGenerator[bytes, None],
    call: Call,
    exchange: Exchange,
    should_migrate: Callable[[], bool],
) -> StreamResult:
    splitter = EventSplitter()
    while True:
        try:
            piece = await curio.timeout_after(STALL_SECONDS, anext(pieces))
        except StopAsyncIteration:
            return (
                StreamResult.broken
                if splitter.has_rest()
                else StreamResult.whole
            )
        except (HttpError, curio.TaskTimeout):
            return StreamResult.broken
        is_in_order = _forward_all(splitter.add(piece), call, exchange)
        await exchange.push(STALL_SECONDS)
        if not is_in_order:
            return StreamResult.broken
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
    """Add an event to what goes to the caller.

    :returns: whether it is the next one. A gap means that events were lost:
        the stream must go on at another back end, from the last whole event.
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
