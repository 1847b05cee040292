"""Tests of answers to entries that read slowly or disconnect."""

from __future__ import annotations

from socket import SO_RCVBUF, SO_SNDBUF, SOL_SOCKET
from typing import Any

import curio
import pytest

from ospreyford.agent.execution import Execution
from ospreyford.agent.service import Session
from ospreyford.http.server import listen, port_of
from ospreyford.ports.clock import SystemClock
from ospreyford.ports.fleet import LoadReport
from ospreyford.wire.connection import (
    FrameConnection,
    agent_decoder,
    wrap_entry_connection,
)
from ospreyford.wire.frame import Beat, End, Opened
from tests.agent.frames import make_start
from tests.faults.rig import AGENT_TIMES

LOAD = LoadReport(incarnation='i')
PIECES = 40
BUFFER_BYTES = 100_000


class FollowedExecution:
    """The entry's end of a connection that follows an execution."""

    def __init__(self, execution: Execution) -> None:
        self._execution = execution

    async def __aenter__(self) -> FollowedExecution:
        async with listen('127.0.0.1', 0) as listener:
            address = ('127.0.0.1', port_of(listener))
            entry_sock = await curio.open_connection(*address)
            accepted = await listener.accept()
        for sock, size in ((accepted[0], SO_SNDBUF), (entry_sock, SO_RCVBUF)):
            sock.setsockopt(SOL_SOCKET, size, BUFFER_BYTES)
        self._agent = wrap_entry_connection(accepted[0])
        self.entry = FrameConnection(entry_sock, agent_decoder)
        self.session = Session(self._agent, AGENT_TIMES, SystemClock())
        opened = Opened(execution='x', incarnation='i', load=LOAD)
        await self.session.follow(self._execution, 0, opened)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.stop()
        await self._agent.close()
        await self.entry.close()

    async def read(self) -> list[Any]:
        """Read the answer's frames up to the end, without heartbeats."""
        frames: list[Any] = []
        while not isinstance(frames and frames[-1], End):
            frame = await self.entry.receive()
            if not isinstance(frame, Beat | Opened):
                frames.append(frame)
        return frames


async def produce_answer(execution: Execution, size: int, pause: float) -> None:
    await execution.add_head(200, ())
    for number in range(1, PIECES):
        await execution.add_piece(bytes([number]) * size)
        await curio.sleep(pause)
    await execution.finish(LOAD, 1)


@pytest.mark.parametrize('pause', [0, 0.001])
@pytest.mark.parametrize('size', [10, 50_000])
def test_every_follower_gets_every_frame_once(size: int, pause: float) -> None:
    # Guards against missing, duplicate and interleaved frames when pieces
    # arrive faster than sockets accept them.
    async def main() -> list[list[int]]:
        execution = Execution(make_start('x', 'a'), 0, frozenset())
        follow = FollowedExecution
        async with (
            follow(execution) as quick,
            follow(execution) as slow,
            follow(execution) as broken,
            curio.timeout_after(10),
        ):
            reader = await curio.spawn(quick.read)
            await broken.entry.close()
            await produce_answer(execution, size, pause)
            answers = [await reader.join(), await slow.read()]
            for frames in answers:
                for piece in frames[1:-1]:
                    assert piece.content == bytes([piece.sequence]) * size
            return [[each.sequence for each in frames] for frames in answers]

    assert curio.run(main) == [list(range(PIECES + 1))] * 2
