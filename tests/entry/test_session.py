"""Tests of what a session has sent to the caller when it waits or ends."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import curio
import pytest

from ospreyford.entry.outcome import Abandoned, Answered, Cause, Cut
from ospreyford.entry.response import IncomingResponse, Interrupted
from ospreyford.entry.session import AttemptSession
from ospreyford.entry.settings import AttemptSettings
from ospreyford.entry.sink import CallerDisconnected
from ospreyford.http.message import Headers
from ospreyford.http.server import listen, port_of
from ospreyford.ports.clock import Clock, SystemClock
from ospreyford.ports.fleet import LoadReport
from ospreyford.wire.connection import (
    FrameConnection,
    agent_decoder,
    encode_frames,
    wrap_entry_connection,
)
from ospreyford.wire.frame import Beat, Cancel, End, Head, Opened, Piece
from tests.agent.frames import make_start
from tests.fakes.clock import FakeClock

LOAD_REPORT = LoadReport(incarnation='i')
PARTIAL_RESPONSE = encode_frames(
    Opened(execution='x', incarnation='i', load=LOAD_REPORT),
    Head(execution='x', sequence=0, status=200, headers=()),
    Piece(execution='x', sequence=1, content=b'token'),
)
END = encode_frames(End(execution='x', sequence=2, load=LOAD_REPORT))
FOREIGN_FRAME = encode_frames(
    Piece(execution='y', sequence=2, content=b'other')
)
MALFORMED_FRAME = b'\xff\xff\xff\xff'


@dataclass
class BufferingSink:
    pending: list[bytes] = field(default_factory=list)
    sent: list[bytes] = field(default_factory=list)
    gone: bool = False
    slow: bool = False

    async def begin(self, status: int, headers: Headers) -> None:
        self.pending.append(b'head')

    async def relay(self, content: bytes) -> None:
        self.pending.append(content)

    async def finish(self) -> None:
        self.pending.append(b'end')

    async def flush(self, timeout_seconds: float = 60) -> bool:
        if self.gone:
            raise CallerDisconnected
        if self.slow and self.pending:
            await curio.sleep(timeout_seconds)
        if self.slow and self.pending:
            return False
        self.sent += self.pending
        self.pending.clear()
        return True

    def is_abandoned(self) -> bool:
        return self.gone


class SessionHarness:
    """A session on a loopback connection whose agent is played by the test."""

    def __init__(self, sink: BufferingSink, clock: Clock | None = None) -> None:
        self.sink = sink
        self.clock = clock or SystemClock()

    async def __aenter__(self) -> SessionHarness:
        async with listen('127.0.0.1', 0) as sock:
            address = ('127.0.0.1', port_of(sock))
            entry_socket = await curio.open_connection(*address)
            accepted = await sock.accept()
            self.agent_socket = accepted[0]
        self.agent_connection = wrap_entry_connection(self.agent_socket)
        self.entry_connection = FrameConnection(entry_socket, agent_decoder)
        session = AttemptSession(
            AttemptSettings(beat_seconds=0.05, silence_seconds=5),
            self.clock,
            self.entry_connection,
            IncomingResponse('x', self.sink, self.clock),
            self.clock.monotonic() + 60,
        )
        start = make_start('x', 'a1')
        self.task = await curio.spawn(session.run, start)
        await self.agent_connection.receive()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.task.cancel()
        await self.entry_connection.close()
        await self.agent_connection.close()


@pytest.mark.parametrize(
    ('last', 'step', 'sent'),
    [
        (END, Answered(), [b'head', b'token', b'end']),
        (FOREIGN_FRAME, Interrupted(), [b'head', b'token']),
        (MALFORMED_FRAME, Interrupted(), [b'head', b'token']),
    ],
)
def test_received_frames_are_flushed_at_the_end(
    last: bytes, step: Any, sent: list[bytes]
) -> None:
    # Buffered frames must not be dropped when the session ends.
    async def run() -> None:
        async with SessionHarness(BufferingSink()) as harness:
            await harness.agent_socket.sendall(PARTIAL_RESPONSE + last)
            assert await harness.task.join() == step
            assert harness.sink.sent == sent

    curio.run(run)


def test_token_is_flushed_before_the_next_arrives() -> None:
    # Buffering must not delay a token until the next one arrives.
    async def run() -> None:
        async with SessionHarness(BufferingSink()) as harness:
            await harness.agent_socket.sendall(PARTIAL_RESPONSE)
            until = time.monotonic() + 2
            while not harness.sink.sent and time.monotonic() < until:
                await curio.sleep(0.01)
            assert harness.sink.sent == [b'head', b'token']

    curio.run(run)


def test_disconnected_caller_is_not_answered() -> None:
    # A complete response that was not sent must not count as answered.
    async def run() -> None:
        async with SessionHarness(BufferingSink()) as harness:
            harness.sink.gone = True
            await harness.agent_socket.sendall(PARTIAL_RESPONSE + END)
            assert await harness.task.join() == Abandoned()
            assert await harness.agent_connection.receive() == Cancel(
                execution='x'
            )

    curio.run(run)


@asynccontextmanager
async def block_caller() -> AsyncIterator[tuple[SessionHarness, FakeClock]]:
    """Run a session whose caller does not read."""
    clock = FakeClock()
    async with SessionHarness(BufferingSink(slow=True), clock) as harness:
        await harness.agent_socket.sendall(PARTIAL_RESPONSE)
        while not harness.sink.pending:
            await curio.sleep(0.01)
        yield harness, clock


def test_heartbeats_continue_while_the_caller_is_slow() -> None:
    # A blocked write to the caller must not stop heartbeats to the agent,
    # nor make the entry time the agent out.
    async def run() -> None:
        async with block_caller() as (harness, clock):
            for _ in range(3):
                clock.advance(4)
                assert await receive(harness) == Beat(execution='x')
            harness.sink.slow = False
            while not harness.sink.sent:
                await curio.sleep(0.01)
            # The session receives again and has not timed out.
            clock.advance(1)
            assert await receive(harness) == Beat(execution='x')
            await harness.agent_socket.sendall(END)
            assert await harness.task.join() == Answered()

    curio.run(run)


@pytest.mark.parametrize(
    ('seconds', 'gone', 'step'),
    [(100, False, Cut(Cause.deadline)), (1, True, Abandoned())],
)
def test_caller_that_never_reads_times_out(
    seconds: float, gone: bool, step: Any
) -> None:
    # A blocked write must not hold the backend past the deadline.
    async def run() -> None:
        async with block_caller() as (harness, clock):
            harness.sink.gone = gone
            clock.advance(seconds)
            ending = curio.timeout_after(3, harness.task.join())
            assert await ending == step
            frames = [await harness.agent_connection.receive()]
            while not isinstance(frames[-1], Cancel):
                frames.append(await receive(harness))

    curio.run(run)


async def receive(harness: SessionHarness) -> Any:
    return await curio.timeout_after(3, harness.agent_connection.receive())
