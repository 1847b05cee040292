"""Tests of connections with arbitrary frames and of failing runs."""

from __future__ import annotations

from typing import Any

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.agent.backend import BackendAddress, HttpBackend
from ospreyford.agent.execution import Execution
from ospreyford.agent.service import Session
from ospreyford.agent.settings import ServiceSettings
from ospreyford.http.message import Request
from ospreyford.http.server import listen, port_of
from ospreyford.ports.clock import SystemClock
from ospreyford.ports.fleet import LoadReport
from ospreyford.wire.connection import connect_to_agent, encode_frames
from ospreyford.wire.frame import (
    Beat,
    Cancel,
    End,
    Failed,
    Fate,
    Frame,
    Greeting,
    Opened,
    Piece,
    Refused,
)
from tests.agent.frames import make_follow, make_start
from tests.fakes.clock import FakeClock
from tests.faults.backend import FakeCall
from tests.faults.rig import AGENT_TIMES, Rig, RunningAgent, make_call, send

HEADERS = ((b'x-request-id', b'r'), (b'host', b'b'))
LOAD = LoadReport(incarnation='i')
BEAT = encode_frames(Beat(execution=''))


def make_dated_start(tag: str, **changes: Any) -> Any:
    now = int(SystemClock().wall() * 1000)
    times = {'dated': now, 'expires': now + 3000}
    named = {'body': tag.encode(), 'headers': HEADERS}
    return make_start(tag, f'attempt-{tag}', **times | named | changes)


def make_dated_follow(tag: str, incarnation: str, **changes: Any) -> Any:
    now = int(SystemClock().wall() * 1000)
    times = {'dated': now, 'incarnation': incarnation}
    return make_follow(tag, f'attempt-{tag}', **times | changes)


async def send_raw(agent: RunningAgent, raw: bytes) -> bool:
    """Send bytes and return whether the agent closed the connection."""
    address = (agent.network.address, agent.network.upstream)
    async with await curio.open_connection(*address) as sock:
        await sock.sendall(raw)
        received: bytes | None = b'-'
        while received:
            received = await curio.ignore_after(0.15, sock.recv(65_536))
        return received == b''


async def send_and_collect(agent: RunningAgent, frame: Frame) -> list[Any]:
    """Send a frame on a new connection and collect the answer's frames."""
    address = f'{agent.network.address}:{agent.network.upstream}'
    connection = await connect_to_agent(address, 1)
    frames: list[Any] = []
    await connection.send(frame)
    while not isinstance(frames and frames[-1], End | Failed | Refused):
        receiving = connection.receive()
        frames.append(await curio.timeout_after(1, receiving))
    await connection.close()
    return frames


def encode_two(first: Any, second: Any) -> bytes:
    return encode_frames(first, second)


@pytest.mark.parametrize(
    ('make', 'runs'),
    [
        (lambda: encode_two(make_dated_start('a'), make_dated_start('b')), 1),
        (lambda: encode_two(make_dated_start('a'), make_dated_start('a')), 1),
        (
            lambda: encode_two(
                make_dated_start('a'), make_dated_follow('a', 'old')
            ),
            1,
        ),
        (
            lambda: encode_frames(
                Piece(execution='a', sequence=0, content=b'')
            ),
            0,
        ),
        (lambda: encode_frames(make_dated_start('a'))[:-1] + b'\xff' * 9, 0),
        (lambda: BEAT + b'\xff' * 4, 0),
        (lambda: b'GET / HTTP/1.1\r\n\r\n', 0),
    ],
)
def test_wrong_frames_end_their_connection_only(make: Any, runs: int) -> None:
    """A protocol error must close its own connection only.

    Guards against interleaved answers, a second run and lost connections.
    """

    async def main() -> tuple[bool, list[Any], int]:
        async with Rig([]) as rig:
            agent = rig.agents[0]
            good = await curio.spawn(
                send_and_collect, agent, make_dated_start('good')
            )
            closed = await send_raw(agent, make())
            frames = await good.join()
            return closed, frames, agent.backend.journal[b'a']

    closed, frames, ran = curio.run(main)
    assert closed
    assert isinstance(frames[0], Greeting)
    assert isinstance(frames[-1], End)
    assert ran == runs


frame_makers = st.sampled_from(
    [
        lambda _: make_dated_start('a'),
        lambda _: make_dated_start('b', idempotent=True, fresh=True),
        lambda incarnation: make_dated_follow('a', incarnation),
        lambda incarnation: make_dated_follow(
            'a', incarnation, next_sequence=99
        ),
        lambda _: make_dated_follow('a', 'earlier'),
        lambda _: Cancel(execution='a'),
        lambda _: Cancel(execution='b'),
        lambda _: Beat(execution='c'),
    ]
)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(st.lists(st.lists(frame_makers, max_size=4), max_size=3))
def test_no_order_of_frames_runs_a_key_twice(conversations: Any) -> None:
    async def main() -> tuple[int, Any]:
        async with Rig([]) as rig:
            agent = rig.agents[0]
            assert agent.record is not None
            incarnation = agent.record.incarnation
            for makers in conversations:
                raw = encode_frames(*(make(incarnation) for make in makers))
                task = await curio.spawn(send_raw, agent, raw, daemon=True)
                await curio.sleep(0.002)
                if len(makers) % 2:
                    await task.cancel()
            frames = await send_and_collect(
                agent, make_dated_follow('a', incarnation, next_sequence=0)
            )
            return agent.backend.journal[b'a'], frames[-1]

    runs, last = curio.run(main)
    assert runs <= 1
    assert isinstance(last, End if runs else Refused)


class FailingCall(FakeCall):
    """Fails with an unexpected error."""

    async def read_head(self) -> Any:
        raise RuntimeError


class HangingCall(FakeCall):
    """Never responds; records how the call was ended."""

    async def read_head(self) -> Any:
        await curio.sleep(60)

    async def finish(self, *, whole: bool) -> None:
        self.backend.journal[b'finished whole' if whole else b'closed'] += 1


def test_run_always_ends() -> None:
    """An unexpected error must end the execution.

    Guards against a shutdown that waits for it indefinitely.
    """

    async def main() -> Any:
        async with Rig([]) as rig:
            backend = rig.agents[0].backend

            async def open_broken(*, reuse: bool) -> FailingCall:
                return FailingCall(backend)

            backend.open = open_broken  # type: ignore[method-assign]
            frames = await send_and_collect(
                rig.agents[0], make_dated_start('a')
            )
            return frames[-1]

    assert curio.run(main).fate is Fate.unknown


@pytest.mark.parametrize(
    'changes', [{'method': 'B D'}, {'method': '\xe9'}, {'headers': ()}]
)
def test_invalid_request_is_not_run(changes: Any) -> None:
    """A request that is invalid in HTTP is reported as not run."""

    async def main() -> Any:
        async with Rig([]) as rig:
            sock = listen('127.0.0.1', 0)
            address = BackendAddress('127.0.0.1', port_of(sock))
            agent = rig.agents[0]
            await agent.kill()
            agent.backend = HttpBackend(address, 1)  # type: ignore[assignment]
            await agent.start()
            await curio.sleep(0.02)
            frames = await send_and_collect(
                agent, make_dated_start('a', **changes)
            )
            await sock.close()
            return frames[-1]

    assert curio.run(main).fate is Fate.not_run


@pytest.mark.parametrize(('idempotent', 'closed'), [(True, 1), (False, 0)])
def test_cancel_closes_the_call_of_what_may_run_again(
    idempotent: bool, closed: int
) -> None:
    asked: list[bool] = []

    async def main() -> int:
        async with Rig([]) as rig:
            agent = rig.agents[0]

            async def open_hanging(*, reuse: bool) -> HangingCall:
                asked.append(reuse)
                return HangingCall(agent.backend)

            agent.backend.open = open_hanging  # type: ignore[method-assign]
            start = make_dated_start('a', idempotent=idempotent, fresh=True)
            address = f'{agent.network.address}:{agent.network.upstream}'
            connection = await connect_to_agent(address, 1)
            await connection.send(start)
            await curio.sleep(0.05)
            await connection.send(Cancel(execution='a'))
            await curio.sleep(0.05)
            await connection.close()
            return agent.backend.journal[b'closed']

    assert curio.run(main) == closed
    # The outcome is unknown if a server closes a reused connection.
    assert asked == [idempotent]


@pytest.mark.parametrize('whole', [False, True])
def test_unfinished_response_closes_the_connection(whole: bool) -> None:
    """A connection with unread response data must not be reused."""

    async def main() -> Any:
        sock = listen('127.0.0.1', 0)
        async with sock:
            backend = HttpBackend(BackendAddress('127.0.0.1', port_of(sock)), 1)
            call = await backend.open(reuse=False)
            client, _ = await sock.accept()
            await call.send(Request('GET', '/', HEADERS), b'')
            await client.recv(65_536)
            await client.sendall(
                b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n'
            )
            await call.read_head()
            await call.finish(whole=whole)
            return await curio.ignore_after(0.1, client.recv(1))

    assert curio.run(main) == b''


def test_answer_has_one_end() -> None:
    """A failure that races with the end must not add a second end frame."""

    async def main() -> list[Any]:
        execution = Execution(make_dated_start('a'), 0, frozenset())
        await execution.finish(LOAD, 1)
        await execution.fail(Fate.unknown, 2)
        return execution.read_frames(0)

    assert [type(frame) for frame in curio.run(main)] == [End]


class SlowConnection:
    """A connection that blocks on an end frame until released."""

    def __init__(self) -> None:
        self.sent: list[Frame] = []
        self.release = curio.Event()

    async def send(self, *frames: Frame) -> None:
        self.sent += frames
        if isinstance(frames[-1], End):
            await self.release.wait()

    def is_flushed(self) -> bool:
        return True


def test_next_answer_is_followed_when_the_last_one_was_slow() -> None:
    """A slow follower must not clear the session's next execution.

    Guards against the idle timeout and ignored cancels during an answer.
    """

    async def main() -> float:
        connection = SlowConnection()
        session = Session(connection, AGENT_TIMES, SystemClock())  # type: ignore[arg-type]
        opened = Opened(execution='', incarnation='', load=LOAD)
        first = Execution(make_dated_start('a'), 0, frozenset())
        await first.finish(LOAD, 1)
        await session.follow(first, 0, opened)
        await curio.sleep(0.01)
        second = Execution(make_dated_start('b'), 0, frozenset())
        await session.follow(second, 0, opened)
        await connection.release.set()
        await curio.sleep(0.01)
        timeout = session.receive_timeout()
        await session.stop()
        return timeout

    assert curio.run(main) == AGENT_TIMES.silence_seconds


@pytest.mark.parametrize('keyed', [False, True])
def test_cancelled_request_is_not_counted_in_flight(keyed: bool) -> None:
    """A cancelled request must not stay counted as in flight."""

    async def main() -> tuple[int, int]:
        async with Rig([]) as rig:
            entry = rig.make_entry()
            rig.agents[0].backend.gap = 1
            router = entry._router
            call = make_call(b'a', idempotent=not keyed)
            task = await curio.spawn(send, rig, entry, call)
            await curio.sleep(0.05)
            found: Any = router._registry.get('server-0')
            during = found.in_flight
            await task.cancel()
            return during, found.in_flight

    assert curio.run(main) == (1, 0)


@pytest.mark.parametrize(
    ('heartbeat_sent', 'seconds', 'undelivered'),
    [(True, 1, True), (True, 3, False), (False, 0, False)],
)
def test_heartbeat_after_end_marks_answer_undelivered(
    heartbeat_sent: bool, seconds: float, undelivered: bool
) -> None:
    # Guards against a shutdown that truncates answers in socket buffers.
    clock = FakeClock()
    connection: Any = None
    session = Session(connection, ServiceSettings(), clock)
    if heartbeat_sent:
        session.handle_heartbeat()
    clock.advance(seconds)
    assert session.has_undelivered_answer() is undelivered
