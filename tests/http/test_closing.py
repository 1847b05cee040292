"""A planned stop of a server: its steps and their ends."""

from __future__ import annotations

import time

import curio
import pytest

from ospreyford.http.client import ClientConnection
from ospreyford.http.closing import ClosingPace, close_server
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Response
from ospreyford.http.server import Exchange
from tests.http.test_server import GET, Server

#: An answer outlasts the time for new connections, and the most of the last.
ANSWER_SECONDS = 0.6


async def answer_slowly(exchange: Exchange) -> None:
    await curio.sleep(ANSWER_SECONDS)
    await exchange.respond(200, b'whole')


async def close_under_a_request(pace: ClosingPace) -> tuple[float, int]:
    async with Server(answer_slowly) as server:
        caller = await ClientConnection.open('127.0.0.1', server.port, 1)
        await caller.send(GET)
        await curio.sleep(0.05)
        accepting = await curio.spawn(curio.sleep, 60)
        began = time.monotonic()
        await close_server(server.siblings, accepting, pace)
        took = time.monotonic() - began
        status = await read_status(caller)
        await caller.close()
    return took, status


async def read_status(caller: ClientConnection) -> int:
    try:
        head: Response = await curio.timeout_after(0.05, caller.read_head())
    except (HttpError, curio.TaskTimeout):
        return 0
    return head.status


#: Pace, and the status that the caller has when the stop ends.
STOPS = (
    (ClosingPace(accept=0.1, quiet=0.1), 200),
    (ClosingPace(accept=0.1, quiet=0.1, most=0.3), 0),
)


@pytest.mark.parametrize(('pace', 'status'), STOPS)
def test_a_stop_waits_for_answers_as_long_as_it_may(
    pace: ClosingPace, status: int
) -> None:
    """A planned stop cut a request, or waited for one without end."""
    took, seen = curio.run(close_under_a_request, pace)
    assert seen == status
    assert took >= pace.accept + pace.quiet
