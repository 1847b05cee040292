"""What a caller has been sent when a conversation waits or ends."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

import curio
import pytest

from ospreyford.entry.answer import IncomingAnswer, Interrupted
from ospreyford.entry.conversation import Conversation
from ospreyford.entry.outcome import Abandoned, Answered
from ospreyford.entry.settings import AttemptSettings
from ospreyford.entry.sink import CallerGone
from ospreyford.http.message import Headers
from ospreyford.http.server import listen, port_of
from ospreyford.ports.clock import SystemClock
from ospreyford.ports.fleet import LoadReport
from ospreyford.wire.connection import (
    FrameConnection,
    accept_entry,
    agent_decoder,
    encode_frames,
)
from ospreyford.wire.frame import Cancel, End, Head, Opened, Piece
from tests.agent.frames import make_start

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

    async def begin(self, status: int, headers: Headers) -> None:
        self.held.append(b'head')

    async def relay(self, content: bytes) -> None:
        self.held.append(content)

    async def finish(self) -> None:
        self.held.append(b'end')

    async def flush(self) -> None:
        if self.gone:
            raise CallerGone
        self.sent += self.held
        self.held.clear()

    def is_abandoned(self) -> bool:
        return self.gone


class Talk:
    """A conversation on a loopback connection whose far end a test plays."""

    def __init__(self, sink: HoldingSink) -> None:
        self.sink = sink

    async def __aenter__(self) -> Talk:
        async with listen('127.0.0.1', 0) as sock:
            address = ('127.0.0.1', port_of(sock))
            near = await curio.open_connection(*address)
            accepted = await sock.accept()
            self.far = accepted[0]
        self.agent = accept_entry(self.far)
        self.near = FrameConnection(near, agent_decoder)
        conversation = Conversation(
            AttemptSettings(silence_seconds=5),
            SystemClock(),
            self.near,
            IncomingAnswer('x', self.sink, SystemClock()),
            time.monotonic() + 5,
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
