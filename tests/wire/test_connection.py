"""Tests of frame decoding and of the connection pool."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.entry.attempt import Attempt
from ospreyford.entry.outcome import Cause, NotRun
from ospreyford.http.server import listen, port_of
from ospreyford.ports.clock import SystemClock
from ospreyford.ports.fleet import Host, LoadReport
from ospreyford.wire.connection import (
    MAX_FRAME_BYTES,
    FrameConnection,
    FrameReader,
    encode_frames,
)
from ospreyford.wire.errors import Malformed, Unreachable
from ospreyford.wire.frame import (
    AgentFrame,
    Beat,
    Cancel,
    End,
    EntryFrame,
    Failed,
    Fate,
    Frame,
    Greeting,
    Head,
    Opened,
    Piece,
    Refusal,
    Refused,
)
from ospreyford.wire.ids import create_id, read_timestamp_ms
from ospreyford.wire.pool import ConnectionPool, PoolSettings
from tests.agent.frames import make_follow, make_start
from tests.faults.rig import TIMES, CollectingSink

CLOCK = SystemClock()
SETTINGS = settings(max_examples=150, derandomize=True, deadline=None)
LOAD = LoadReport(incarnation='i', in_flight=3, free_cache_ratio=0.5)
NESTED_BEAT = b'\x93\xa4Beat\xa1e%b' % (b'\x91' * 100_000)
GREETING = Greeting(execution='', server='s', incarnation='i')
FRAMES: tuple[Frame, ...] = (
    make_start('e', 'a', headers=((b'x', b'\xff'),), body=b'\0'),
    make_follow('e', 'a', moved=True, sent=False),
    Cancel(execution='e'),
    Beat(execution='e'),
    GREETING,
    Opened(execution='e', incarnation='i', load=LOAD),
    Refused(
        execution='e',
        incarnation='i',
        reason=Refusal.moved,
        retry_after=1.5,
        load=LOAD,
    ),
    Head(execution='e', sequence=0, status=200, headers=((b'a', b'b'),)),
    Piece(execution='e', sequence=1, content=b'\xff'),
    End(execution='e', sequence=2, load=LOAD),
    Failed(execution='e', sequence=1, fate=Fate.unknown),
)
ENTRY_FRAMES = st.lists(st.sampled_from(FRAMES[:4]), max_size=5)
DECODERS = (
    msgspec.msgpack.Decoder(EntryFrame),
    msgspec.msgpack.Decoder(AgentFrame),
)


def read_all(reader: FrameReader[Any], received: bytes) -> list[Any]:
    reader.feed(received)
    return list(iter(reader.next_frame, None))


def frame_of(body: bytes) -> bytes:
    return len(body).to_bytes(4, 'big') + body


@pytest.mark.parametrize('frame', FRAMES, ids=lambda one: type(one).__name__)
def test_frame_survives_the_wire_only_in_its_direction(frame: Frame) -> None:
    results = []
    for decoder in DECODERS:
        try:
            results.append(read_all(FrameReader(decoder), encode_frames(frame)))
        except Malformed:
            results.append([])
    assert [frame] in results
    assert isinstance(frame, Beat) or [] in results


@SETTINGS
@given(ENTRY_FRAMES, st.randoms())
def test_frames_cut_anywhere_arrive_whole(
    frames: list[Frame], rng: Any
) -> None:
    encoded = encode_frames(*frames)
    reader = FrameReader(DECODERS[0])
    found = []
    while encoded:
        size = rng.randint(1, len(encoded))
        found += read_all(reader, encoded[:size])
        encoded = encoded[size:]
    assert found == frames


@SETTINGS
@given(
    st.one_of(
        st.binary(max_size=200),
        st.binary(max_size=60).map(frame_of),
        st.tuples(
            st.sampled_from(FRAMES), st.integers(0, 80), st.binary(min_size=1)
        ).map(lambda each: corrupt(*each)),
    )
)
def test_any_bytes_are_frames_or_malformed(received: bytes) -> None:
    for decoder in DECODERS:
        with suppress(Malformed):
            read_all(FrameReader(decoder), received)


def corrupt(frame: Frame, place: int, noise: bytes) -> bytes:
    encoded = encode_frames(frame)
    return encoded[:place] + noise + encoded[place + len(noise) :]


@pytest.mark.parametrize(
    'received',
    [
        (MAX_FRAME_BYTES + 1).to_bytes(4, 'big'),
        b'\xff\xff\xff\xff',
        bytes(4),
        frame_of(b'\x92\xa4Beat\xa1\xff'),
        frame_of(NESTED_BEAT),
        frame_of(b'\x92\xa4Nope\xa1e'),
    ],
)
def test_invalid_bytes_are_malformed_at_once(received: bytes) -> None:
    """Invalid bytes raise ``Malformed``, also for deeply nested arrays."""
    with pytest.raises(Malformed):
        read_all(FrameReader(DECODERS[0]), received)


@pytest.mark.parametrize(
    ('key', 'dated'),
    [
        ('', False),
        ('x', False),
        ('{}', False),
        ('0190', False),
        ('6ba7b810-9dad-11d1-80b4-00c04fd430c8', False),
        (create_id(), True),
        (create_id().replace('-', ''), True),
    ],
)
def test_only_dated_ids_have_a_date(key: str, dated: bool) -> None:
    assert (read_timestamp_ms(key) is not None) is dated


class Agent:
    """Listener that sends the given frames on each connection."""

    def __init__(self, *greeting: Frame) -> None:
        self.sockets: list[Any] = []
        self._greeting = encode_frames(*greeting)

    async def __aenter__(self) -> Agent:
        self._sock = listen('127.0.0.1', 0)
        self.address = f'127.0.0.1:{port_of(self._sock)}'
        self._task = await curio.spawn(self._accept)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._task.cancel()
        for sock in (self._sock, *self.sockets):
            await sock.close()

    async def _accept(self) -> None:
        while True:
            client, _ = await self._sock.accept()
            await client.sendall(self._greeting)
            self.sockets.append(client)


async def wait_for_io() -> None:
    await curio.sleep(0.02)


def make_pool(**times: Any) -> ConnectionPool:
    return ConnectionPool(PoolSettings(connect_seconds=0.1, **times), CLOCK)


async def send_late_frame(agent: Agent) -> None:
    await agent.sockets[0].sendall(encode_frames(FRAMES[-1]))


async def close_from_agent(agent: Agent) -> None:
    await agent.sockets[0].close()


async def do_nothing(agent: Agent) -> None:
    """Leave the connection unchanged."""


@pytest.mark.parametrize(
    ('event', 'opened'),
    [(send_late_frame, 2), (close_from_agent, 2), (do_nothing, 1)],
)
def test_readable_idle_connection_is_not_reused(
    event: Any, opened: int
) -> None:
    """Late frames or EOF on an idle connection must not reach a request."""

    async def main() -> int:
        async with Agent(GREETING) as agent:
            pool = make_pool()
            first = await pool.acquire(agent.address, 1)
            await pool.release(agent.address, first)
            await event(agent)
            await wait_for_io()
            await pool.acquire(agent.address, 1)
            await wait_for_io()
            return len(agent.sockets)

    assert curio.run(main) == opened


def test_connection_with_buffered_frame_is_not_reused() -> None:
    """As above, with the late frame already in the buffer."""

    async def main() -> int:
        async with Agent(GREETING, FRAMES[-1]) as agent:
            pool = make_pool()
            await pool.release(
                agent.address, await pool.acquire(agent.address, 1)
            )
            await pool.acquire(agent.address, 1)
            await wait_for_io()
            return len(agent.sockets)

    assert curio.run(main) == 2


def test_idle_connections_to_unused_addresses_are_closed() -> None:
    """Idle connections to replaced hosts must not leak file descriptors."""

    async def main() -> bytes:
        async with Agent(GREETING) as old, Agent(GREETING) as new:
            pool = make_pool(idle_seconds=0.05)
            await pool.release(old.address, await pool.acquire(old.address, 1))
            await curio.sleep(0.1)
            await pool.release(new.address, await pool.acquire(new.address, 1))
            received: bytes = await curio.timeout_after(
                1, old.sockets[0].recv(1)
            )
            return received

    assert curio.run(main) == b''


@pytest.mark.parametrize('greeting', [(), (FRAMES[7],), (FRAMES[0],)])
def test_agent_without_greeting_is_unreachable(greeting: Any) -> None:
    async def main() -> None:
        async with Agent(*greeting) as agent:
            await make_pool().acquire(agent.address, 1)

    with pytest.raises(Unreachable):
        curio.run(main)


def test_connecting_ends_with_the_deadline() -> None:
    """The request deadline bounds connecting to an agent that is paused."""

    async def main() -> Any:
        async with Agent() as agent, curio.timeout_after(2):
            start = make_start('e', 'a')
            pool = ConnectionPool(PoolSettings(connect_seconds=9), CLOCK)
            deadline = CLOCK.monotonic() + 0.1
            attempt = Attempt(
                TIMES, pool, CLOCK, start, CollectingSink(), deadline
            )
            return await attempt.run(
                Host('s', 'i', 'backend', 'z', 'r', 'v', agent.address, '')
            )

    assert curio.run(main) == NotRun(Cause.unreachable, 0)


def test_pool_bounds_idle_connections() -> None:
    async def main() -> list[bool]:
        async with Agent(GREETING) as agent:
            pool = make_pool(max_idle_per_address=1)
            taken = [await pool.acquire(agent.address, 1) for _ in range(2)]
            for each in taken:
                await pool.release(agent.address, each)
            return [await is_open(each.frames) for each in taken]

    assert curio.run(main) == [True, False]


async def is_open(frames: FrameConnection[Any]) -> bool:
    try:
        await frames.send(FRAMES[3])
    except Exception:
        return False
    return True
