"""A planned stop of a server: its steps and their ends."""

from __future__ import annotations

import time

import curio
import pytest

from ospreyford.http.client import ClientConnection
from ospreyford.http.closing import ClosingPace, close_server
from ospreyford.http.connections import OpenConnections
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


async def tell_lateness(exchange: Exchange) -> None:
    await exchange.read_body()
    await exchange.respond(503 if exchange.is_too_late() else 200, b'')


async def stop_taking_within(first: bytes, rest: bytes) -> bytes:
    async with Server(tell_lateness) as server:
        caller = await curio.open_connection('127.0.0.1', server.port)
        async with caller:
            await curio.sleep(0.05)
            # No other task runs between these: what was sent lies unread.
            await caller.sendall(first)
            server.siblings.stop_taking()
            await curio.sleep(0.02)
            await caller.sendall(rest)
            received: bytes = await caller.recv(65_536)
    return received


REQUEST = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody'


@pytest.mark.parametrize('sent', [20, len(REQUEST) - 2, len(REQUEST)])
def test_a_request_that_is_arriving_is_refused_as_a_whole(sent: int) -> None:
    """A proper request was called malformed.

    Its first bytes had come, unread, when the server stopped taking requests;
    the rest of it was never read.
    """
    received = curio.run(stop_taking_within, REQUEST[:sent], REQUEST[sent:])
    assert received.startswith(b'HTTP/1.1 503')


@pytest.mark.parametrize(('seconds', 'takes'), [(-0.01, False), (5, True)])
def test_requests_are_taken_by_the_clock(seconds: float, takes: bool) -> None:
    """A process short of processor time took requests that it had to cut."""
    connections = OpenConnections()
    connections.start_closing(time.monotonic() + seconds)
    assert connections.taking is takes
    connections.stop_taking()
    assert not connections.taking
