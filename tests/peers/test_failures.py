from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import NamedTuple

import curio
import pytest
import zmq

from ospreyford.peers.counters import DropReason
from ospreyford.peers.node import PeerNode
from ospreyford.peers.settings import PeerSettings
from tests.peers.proxy import BlackholeProxy
from tests.peers.support import echo, encode_request, run_pair

TTL = 0.3
PAUSE = 1.5


class Responder(NamedTuple):
    process: subprocess.Popen[str]
    address: str


@pytest.fixture
def responder() -> Iterator[Responder]:
    process = subprocess.Popen(
        [sys.executable, '-m', 'tests.peers.responder'],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
    )
    assert process.stdout
    try:
        yield Responder(process, process.stdout.readline().strip())
    finally:
        process.kill()
        process.communicate()


async def started(**bounds: float) -> PeerNode:
    settings = PeerSettings(address='127.0.0.1:0', **bounds)  # type: ignore[arg-type]
    node = PeerNode(settings, 'asker')
    await node.start()
    return node


def test_silent_connection_is_replaced() -> None:
    """Symptom: a peer that is up never answers again.

    Sequence: a firewall between the two ends drops its state; the open
    connection stays open and carries nothing; new connections work.
    Cause: waiting on, or sending on, the old connection for ever.
    """

    async def scenario(one: PeerNode, two: PeerNode) -> None:
        two.serve('echo', echo)
        proxy = BlackholeProxy(two.address)
        await proxy.start()
        for round_number in (1, 2, 3):
            assert await one.ask(proxy.address, 'echo', b'x', 5) == b'x'
            proxy.drop_open_connections()
            assert await one.ask(proxy.address, 'echo', b'x', 0.2) is None
            assert one.counters.replaced == round_number
        assert await one.ask(proxy.address, 'echo', b'x', 5) == b'x'
        assert proxy.accepted == 4
        await proxy.stop()

    run_pair(scenario)


def test_question_to_a_paused_peer_is_dropped(responder: Responder) -> None:
    """Symptom: an order is carried out long after its sender gave up.

    Sequence: the receiver is paused, a question reaches its queue, the asker
    stops waiting, the receiver wakes and reads its queue.
    Cause: nothing in the queue tells the age of a message.
    """
    pid = responder.process.pid

    async def main() -> bytes | None:
        node = await started()
        assert await node.ask(responder.address, 'note', b'1', 5) == b'1'
        os.kill(pid, signal.SIGSTOP)
        assert await node.ask(responder.address, 'note', b'2', TTL) is None
        await curio.sleep(PAUSE)
        os.kill(pid, signal.SIGCONT)
        noted = await node.ask(responder.address, 'noted', b'', 5)
        # A message queued before this answer has been read by now or later;
        # ask again once every queue is empty.
        await curio.sleep(TTL)
        noted = await node.ask(responder.address, 'noted', b'', 5)
        await node.stop()
        return noted

    assert curio.run(main) == b'1'


def test_answer_read_after_a_pause_is_dropped(responder: Responder) -> None:
    """Symptom: a process that slept acts on an answer from before its sleep.

    Sequence: a question is sent, the asker is paused past the timeout, the
    answer arrives meanwhile, the asker wakes and reads it first.
    Cause: the timeout has not fired yet when the answer is read.
    """

    async def main() -> tuple[bytes | None, dict[DropReason, int]]:
        node = await started()
        assert await node.ask(responder.address, 'note', b'1', 5)
        sent = node.counters.topics['note'].sent_messages
        asking = await curio.spawn(
            node.ask, responder.address, 'note', b'2', TTL
        )
        while node.counters.topics['note'].sent_messages == sent:
            await curio.sleep(0)
        # The whole process stands still, as under SIGSTOP.
        time.sleep(PAUSE)
        late = await asking.join()
        drops = dict(node.counters.drops)
        await node.stop()
        return late, drops

    assert curio.run(main) == (None, {DropReason.late_answer: 1})


def test_idle_connections_are_closed() -> None:
    async def scenario(one: PeerNode, two: PeerNode) -> None:
        two.serve('echo', echo)
        assert await one.ask(two.address, 'echo', b'x', 5) == b'x'
        async with curio.timeout_after(10):
            while one.count_connections():
                await curio.sleep(0.05)
        assert await one.ask(two.address, 'echo', b'x', 5) == b'x'
        assert one.counters.opened == 2

    run_pair(scenario, idle_seconds=0.01)


def test_handlers_are_bounded() -> None:
    """Symptom: memory grows until the process dies.

    Sequence: a handler hangs and its question is asked again and again.
    Cause: one task for each question without a bound.
    """

    async def hang(body: bytes) -> bytes:
        await curio.sleep(60)
        return body

    async def scenario(one: PeerNode, two: PeerNode) -> None:
        two.serve('hang', hang)
        two.serve('echo', echo)
        asking = [
            await curio.spawn(one.ask, two.address, 'hang', b'', 0.3)
            for _ in range(5)
        ]
        assert [await task.join() for task in asking] == [None] * 5
        assert two.counters.drops == {DropReason.overloaded: 3}

    run_pair(scenario, handler_limit=2)


def test_send_does_not_lose_read_event(responder: Responder) -> None:
    """Symptom: an answer that arrived is read seconds late, or never.

    Sequence: an answer arrives, then a question is sent on the same socket
    before the reading task has run; the send takes the descriptor's signal.
    Cause: the descriptor of a ZeroMQ socket is edge-triggered.
    """

    async def main() -> bytes | None:
        node = await started()
        assert await node.ask(responder.address, 'note', b'1', 5)
        sent = node.counters.topics['note'].sent_messages
        asking = await curio.spawn(node.ask, responder.address, 'note', b'2', 2)
        while node.counters.topics['note'].sent_messages == sent:
            await curio.sleep(0)
        time.sleep(TTL)  # the answer arrives while this process is busy
        await node.ask(responder.address, 'unknown', b'', 0.5)
        answer: bytes | None = await asking.join()
        await node.stop()
        return answer

    assert curio.run(main) == b'2'


def test_response_does_not_lose_read_event() -> None:
    """Symptom: a question that arrived is never handled.

    Sequence: a question arrives while another's handler keeps the process
    busy, then the answer to the other is sent; see the test above.
    Cause: the descriptor of a ZeroMQ socket is edge-triggered.
    """
    noted = curio.Event()

    async def note(body: bytes) -> None:
        await noted.set()

    async def scenario(one: PeerNode, two: PeerNode) -> None:
        context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        dealer = context.socket(zmq.DEALER)

        async def busy(body: bytes) -> bytes:
            dealer.send(encode_request('note'))
            time.sleep(TTL)
            return body

        two.serve('busy', busy)
        two.serve('note', note)
        dealer.connect(f'tcp://{two.address}')
        dealer.send(encode_request('unknown'))
        while not two.counters.drops:
            await curio.sleep(0.01)
        asking = await curio.spawn(one.ask, two.address, 'busy', b'', 5)
        async with curio.ignore_after(2):
            await noted.wait()
        context.destroy(linger=0)
        assert noted.is_set()
        await asking.join()

    run_pair(scenario)
