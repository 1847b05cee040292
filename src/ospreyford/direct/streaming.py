"""A stream on its way from a back end to a caller."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio
import h11

from ospreyford.direct.events import EventSplitter
from ospreyford.http.errors import HttpError

if TYPE_CHECKING:
    from ospreyford.direct.call import Call
    from ospreyford.direct.events import StreamEvent
    from ospreyford.direct.sending import Sending
    from ospreyford.http.server import Exchange

#: A stream that is silent for so long counts as lost, in seconds. Callers
#: leave after two seconds of silence.
STALL_SECONDS = 1.2


async def pass_stream_on(
    call: Call, sending: Sending, exchange: Exchange
) -> bool:
    """Pass whole events on as they come.

    :param call: the request; its cursor follows what the caller has.
    :param sending: the back end's side.
    :param exchange: the caller's side.
    :returns: whether the stream came to its end. Otherwise it must go on at
        another back end, or be cut.
    :raises ConnectionLost: the caller left.
    """
    splitter = EventSplitter()
    pieces = sending.read_pieces()
    while True:
        try:
            piece = await curio.timeout_after(STALL_SECONDS, pieces.__anext__())
        except StopAsyncIteration:
            return not splitter.has_rest()
        except (HttpError, curio.TaskTimeout):
            return False
        events = splitter.add(piece)
        is_in_order = all([_forward(event, call, exchange) for event in events])
        if events:
            call.note_event(time.monotonic())
        await exchange.push(STALL_SECONDS)
        if not is_in_order:
            return False


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
