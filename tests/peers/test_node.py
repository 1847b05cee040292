from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import pytest

from ospreyford.peers.counters import DropReason
from ospreyford.peers.errors import AddressUnavailable, TopicTaken
from ospreyford.peers.node import PeerNode
from ospreyford.peers.settings import PeerSettings
from tests.peers.support import LOOPBACK, echo, run_pair


async def silent(body: bytes) -> None:
    """Send no response."""


async def failing(body: bytes) -> bytes:
    raise ZeroDivisionError


async def slow(body: bytes) -> bytes:
    await curio.sleep(0.3)
    return body


def test_requests_get_their_own_responses() -> None:
    async def scenario(one: PeerNode, two: PeerNode) -> None:
        two.serve('echo', echo)
        tasks = [
            await curio.spawn(
                one.ask, two.address, 'echo', str(number).encode(), 5
            )
            for number in range(200)
        ]
        responses = [await task.join() for task in tasks]
        assert responses == [str(number).encode() for number in range(200)]
        assert one.counters.topics['echo'].received_messages == 200
        assert two.counters.topics['echo'].sent_messages == 200
        assert one.counters.opened == 1

    run_pair(scenario)


@pytest.mark.parametrize(
    ('handler', 'reason'),
    [
        (silent, None),
        (failing, DropReason.handler_failed),
        (None, DropReason.unknown_topic),
    ],
)
def test_failed_topic_does_not_affect_others(
    handler: Callable[[bytes], Awaitable[bytes | None]] | None,
    reason: DropReason | None,
) -> None:
    """A topic without a response must not affect other topics."""

    async def scenario(one: PeerNode, two: PeerNode) -> None:
        two.serve('echo', echo)
        if handler:
            two.serve('other', handler)
        assert await one.ask(two.address, 'other', b'x', 0.2) is None
        assert await one.ask(two.address, 'echo', b'x', 5) == b'x'
        if reason:
            assert two.counters.drops[reason] == 1

    run_pair(scenario)


def test_late_answer_is_dropped() -> None:
    """A late response must not be matched to a later request."""

    async def scenario(one: PeerNode, two: PeerNode) -> None:
        two.serve('slow', slow)
        two.serve('echo', echo)
        # A second request keeps the connection open for the late response.
        other = await curio.spawn(one.ask, two.address, 'slow', b'2', 5)
        assert await one.ask(two.address, 'slow', b'1', 0.1) is None
        assert await other.join() == b'2'
        assert await one.ask(two.address, 'echo', b'3', 5) == b'3'
        assert one.counters.drops == {DropReason.late_answer: 1}

    run_pair(scenario)


def test_duplicate_topic_and_address_are_rejected() -> None:
    async def scenario(one: PeerNode, two: PeerNode) -> None:
        two.serve('echo', echo)
        with pytest.raises(TopicTaken):
            two.serve('echo', echo)
        third = PeerNode(PeerSettings(address=one.address), 'c')
        with pytest.raises(AddressUnavailable):
            await third.start()
        await third.stop()

    run_pair(scenario)


def test_connections_are_bounded() -> None:
    async def main() -> None:
        settings = PeerSettings(address=LOOPBACK, link_limit=2)
        nodes = [PeerNode(settings, str(number)) for number in range(5)]
        for node in nodes:
            node.serve('echo', echo)
            await node.start()
        first = nodes[0]
        for node in nodes[1:]:
            assert await first.ask(node.address, 'echo', b'x', 5) == b'x'
            assert first.count_connections() <= 2
        for node in nodes:
            await node.stop()

    curio.run(main)
