"""What a caller has been sent when a conversation waits or ends."""

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
    accept_entry,
    agent_decoder,
    encode_frames,
)
from ospreyford.wire.frame import Beat, Cancel, End, Head, Opened, Piece
from tests.agent.frames import make_start
from tests.fakes.clock import FakeClock

LOAD = LoadReport(incarnation='i')
BEGUN = encode_frames(
    Opened(execution='x', incarnation='i', load=LOAD),
    Head(execution='x', sequence=0, status=200, headers=()),
    Piece(execution='x', sequence=1, content=b'token'),
)
END = encode_frames(End(execution='x', sequence=2, load=LOAD))
CROSSED = encode_frames(Piece(execution='y', sequence=2, content=b'other'))
MALFORMED = b'\xff\xff\xff\xff'


@dataclass
class HoldingSink:
    held: list[bytes] = field(default_factory=list)
    sent: list[bytes] = field(default_factory=list)
    gone: bool = False
    slow: bool = False

    async def begin(self, status: int, headers: Headers) -> None:
        self.held.append(b'head')

    async def relay(self, content: bytes) -> None:
        self.held.append(content)

    async def finish(self) -> None:
        self.held.append(b'end')

    async def flush(self, within: float = 60) -> bool:
        if self.gone:
            raise CallerDisconnected
        if self.slow and self.held:
            await curio.sleep(within)
        if self.slow and self.held:
            return False
        self.sent += self.held
        self.held.clear()
        return True

    def is_abandoned(self) -> bool:
        return self.gone


class Talk:
    """A conversation on a loopback connection whose far end a test plays."""

    def __init__(self, sink: HoldingSink, clock: Clock | None = None) -> None:
        self.sink = sink
        self.clock = clock or SystemClock()

    async def __aenter__(self) -> Talk:
        async with listen('127.0.0.1', 0) as sock:
            address = ('127.0.0.1', port_of(sock))
            near = await curio.open_connection(*address)
            accepted = await sock.accept()
            self.far = accepted[0]
        self.agent = accept_entry(self.far)
        self.near = FrameConnection(near, agent_decoder)
        conversation = AttemptSession(
            AttemptSettings(beat_seconds=0.05, silence_seconds=5),
            self.clock,
            self.near,
            IncomingResponse('x', self.sink, self.clock),
            self.clock.monotonic() + 60,
        )
        start = make_start('x', 'a1')
        self.task = await curio.spawn(conversation.run, start)
        await self.agent.receive()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.task.cancel()
        await self.near.close()
        await self.agent.close()


@pytest.mark.parametrize(
    ('last', 'step', 'sent'),
    [
        (END, Answered(), [b'head', b'token', b'end']),
        (CROSSED, Interrupted(), [b'head', b'token']),
        (MALFORMED, Interrupted(), [b'head', b'token']),
    ],
)
def test_what_was_taken_is_sent_at_the_end(
    last: bytes, step: Any, sent: list[bytes]
) -> None:
    # Symptom: a cut answer shows as no answer, or a whole one never ends.
    # Sequence: frames arrive together with what ends the conversation.
    # Cause: the held parts were dropped with it.
    async def talk() -> None:
        async with Talk(HoldingSink()) as held:
            await held.far.sendall(BEGUN + last)
            assert await held.task.join() == step
            assert held.sink.sent == sent

    curio.run(talk)


def test_a_token_does_not_wait_for_the_next() -> None:
    # Symptom: each token reaches the caller one token late.
    # Sequence: a frame arrives; nothing follows for a while.
    # Cause: parts are held so that those that came together go out together.
    async def talk() -> None:
        async with Talk(HoldingSink()) as held:
            await held.far.sendall(BEGUN)
            until = time.monotonic() + 2
            while not held.sink.sent and time.monotonic() < until:
                await curio.sleep(0.01)
            assert held.sink.sent == [b'head', b'token']

    curio.run(talk)


def test_a_caller_that_left_has_no_whole_answer() -> None:
    # Symptom: an answer that nobody got counts as answered.
    # Sequence: the caller leaves while the last parts are held.
    # Cause: the end was taken before it was sent.
    async def talk() -> None:
        async with Talk(HoldingSink()) as held:
            held.sink.gone = True
            await held.far.sendall(BEGUN + END)
            assert await held.task.join() == Abandoned()
            assert await held.agent.receive() == Cancel(execution='x')

    curio.run(talk)


@asynccontextmanager
async def hold_up() -> AsyncIterator[tuple[Talk, FakeClock]]:
    """Have a caller that does not take in what has come."""
    clock = FakeClock()
    async with Talk(HoldingSink(slow=True), clock) as talk:
        await talk.far.sendall(BEGUN)
        while not talk.sink.held:
            await curio.sleep(0.01)
        yield talk, clock


def test_a_slow_caller_does_not_silence_the_entry() -> None:
    # Symptom: an agent's planned stop cuts an answer whose caller reads
    # slowly, and an answer that goes on is taken for interrupted.
    # Sequence: the caller takes nothing in for longer than the agent waits
    # for a heartbeat, and than the entry does; then it reads on.
    # Cause: the entry neither sent nor heard anything in a blocked write.
    async def talk() -> None:
        async with hold_up() as (held, clock):
            for _ in range(3):
                clock.advance(4)
                assert await receive(held) == Beat(execution='x')
            held.sink.slow = False
            while not held.sink.sent:
                await curio.sleep(0.01)
            # It listens again, and has not given the connection up.
            clock.advance(1)
            assert await receive(held) == Beat(execution='x')
            await held.far.sendall(END)
            assert await held.task.join() == Answered()

    curio.run(talk)


@pytest.mark.parametrize(
    ('seconds', 'gone', 'step'),
    [(100, False, Cut(Cause.deadline)), (1, True, Abandoned())],
)
def test_a_caller_that_never_reads_is_bounded(
    seconds: float, gone: bool, step: Any
) -> None:
    # Symptom: a caller that takes nothing in holds its back end for good.
    # Sequence: its deadline passes, or it leaves, in a blocked write.
    # Cause: heartbeats that go on as long as the write does.
    async def talk() -> None:
        async with hold_up() as (held, clock):
            held.sink.gone = gone
            clock.advance(seconds)
            ending = curio.timeout_after(3, held.task.join())
            assert await ending == step
            frames = [await held.agent.receive()]
            while not isinstance(frames[-1], Cancel):
                frames.append(await receive(held))

    curio.run(talk)


async def receive(held: Talk) -> Any:
    return await curio.timeout_after(3, held.agent.receive())
