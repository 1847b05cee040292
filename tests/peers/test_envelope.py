from __future__ import annotations

import time

import curio
import pytest
import zmq
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.peers import expiry
from ospreyford.peers.counters import DropReason
from ospreyford.peers.envelope import PeerRequest, PeerResponse, decode_envelope
from ospreyford.peers.errors import MalformedEnvelope
from ospreyford.peers.expiry import (
    ClockSample,
    PauseDetector,
    estimate_peer_clock,
    is_expired,
)
from ospreyford.peers.node import PeerNode
from ospreyford.peers.sockets import send_frames
from tests.peers.support import echo, encode_request, run_pair

ME = 7
valid = encode_request('echo')


@st.composite
def corrupted_envelopes(draw: st.DrawFn) -> bytes:
    """Draw a valid envelope with some bytes changed or truncated."""
    payload = bytearray(valid)
    for _ in range(draw(st.integers(1, 4))):
        place = draw(st.integers(0, len(payload) - 1))
        payload[place] = draw(st.integers(0, 255))
    return bytes(payload[: draw(st.integers(0, len(payload)))])


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.one_of(st.binary(max_size=200), corrupted_envelopes()))
def test_decode_accepts_or_rejects(payload: bytes) -> None:
    try:
        envelope = decode_envelope(payload)
    except MalformedEnvelope:
        return
    assert isinstance(envelope, PeerRequest | PeerResponse)


@settings(derandomize=True, max_examples=30, deadline=None)
@given(
    st.lists(
        st.lists(
            st.one_of(st.binary(max_size=50), corrupted_envelopes()),
            min_size=1,
            max_size=4,
        ),
        min_size=1,
        max_size=5,
    )
)
def test_malformed_messages_do_not_stop_the_node(
    messages: list[list[bytes]],
) -> None:
    """A decoding error must not end the reading task."""

    async def scenario(one: PeerNode, two: PeerNode) -> None:
        two.serve('echo', echo)
        context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        broken = context.socket(zmq.DEALER)
        broken.connect(f'tcp://{two.address}')
        for frames in messages:
            broken.send_multipart(frames)
        # Counted once all earlier messages have been read.
        broken.send_multipart([b'last', b'last'])
        while not two.counters.drops.get(DropReason.malformed):
            await curio.sleep(0.001)
        assert await one.ask(two.address, 'echo', b'x', 5) == b'x'
        context.destroy(linger=0)

    run_pair(scenario)


def test_non_zeromq_bytes_do_not_stop_the_node() -> None:
    async def scenario(one: PeerNode, two: PeerNode) -> None:
        two.serve('echo', echo)
        host, port = two.address.split(':')
        stream = await curio.open_connection(host, int(port))
        await stream.sendall(b'GET / HTTP/1.1\r\n\r\n' * 100)
        assert await one.ask(two.address, 'echo', b'x', 5) == b'x'
        await stream.close()

    run_pair(scenario)


def make_request(receiver: int, sent_ms: int) -> PeerRequest:
    return PeerRequest(
        nonce=1,
        sender=2,
        topic='t',
        ttl_ms=1000,
        receiver=receiver,
        sent_by_ms=sent_ms,
        body=b'',
    )


@pytest.mark.parametrize(
    ('receiver', 'age_ms', 'paused', 'expected'),
    [
        pytest.param(ME, 900, 0, False, id='within timeout'),
        pytest.param(ME, 1100, 0, True, id='expired'),
        pytest.param(
            ME, 900, 60, False, id='within timeout, sent after a pause'
        ),
        pytest.param(ME + 1, 1100, 0, False, id='clock of earlier incarnation'),
        pytest.param(0, 0, 0, False, id='first request'),
        pytest.param(0, 0, 1, False, id='first request, short pause'),
        pytest.param(0, 0, 60, True, id='first request, queued during a pause'),
        pytest.param(ME + 1, 0, 60, True, id='earlier incarnation, pause'),
    ],
)
def test_expiry(
    monkeypatch: pytest.MonkeyPatch,
    receiver: int,
    age_ms: int,
    paused: float,
    expected: bool,
) -> None:
    now = 5000.0
    monkeypatch.setattr(time, 'monotonic', lambda: now)
    pause_detector = PauseDetector()
    now += paused
    sent_ms = expiry.read_clock_ms() - age_ms
    assert (
        is_expired(make_request(receiver, sent_ms), ME, pause_detector)
        is expected
    )


def test_pause_expires(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 5000.0
    monkeypatch.setattr(time, 'monotonic', lambda: now)
    pause_detector = PauseDetector()
    now += 60
    pause_detector.record_tick()
    while now < 5063:
        now += expiry.PAUSE_CHECK_INTERVAL_SECONDS
        pause_detector.record_tick()
    assert not is_expired(make_request(0, 0), ME, pause_detector)


@pytest.mark.parametrize(
    ('elapsed', 'expected'),
    [
        (0, (ME, 9000)),
        (2.5, (ME, 11_500)),
        (expiry.CLOCK_SAMPLE_MAX_AGE_SECONDS + 1, (0, 0)),
    ],
)
def test_estimate_peer_clock(
    monkeypatch: pytest.MonkeyPatch,
    elapsed: float,
    expected: tuple[int, int],
) -> None:
    monkeypatch.setattr(time, 'monotonic', lambda: 100 + elapsed)
    assert estimate_peer_clock(ClockSample(ME, 9000, 100)) == expected
    assert estimate_peer_clock(None) == (0, 0)


def test_sending_on_a_closed_socket_is_a_failed_send() -> None:
    """A handler may respond while its node stops and closes the socket."""
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    closed = context.socket(zmq.DEALER)
    closed.close()
    assert not send_frames(closed, [b'x'])
    context.destroy()
