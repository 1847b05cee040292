from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import msgspec

from ospreyford.peers.envelope import PeerRequest
from ospreyford.peers.node import PeerNode
from ospreyford.peers.settings import PeerSettings

LOOPBACK = '127.0.0.1:0'


async def echo(body: bytes) -> bytes:
    return body


def encode_request(topic: str) -> bytes:
    """Encode a request as a peer would send it."""
    request = PeerRequest(
        nonce=1,
        sender=2,
        topic=topic,
        ttl_ms=60_000,
        receiver=0,
        sent_by_ms=0,
        body=b'x',
    )
    return msgspec.msgpack.encode(request)


def run_pair(
    scenario: Callable[[PeerNode, PeerNode], Awaitable[None]],
    **bounds: float,
) -> None:
    """Run a scenario with two started nodes."""

    async def main() -> None:
        settings = PeerSettings(address=LOOPBACK, **bounds)  # type: ignore[arg-type]
        nodes = PeerNode(settings, 'a'), PeerNode(settings, 'b')
        for node in nodes:
            await node.start()
        try:
            async with curio.timeout_after(20):
                await scenario(*nodes)
        finally:
            for node in nodes:
                await node.stop()

    curio.run(main)
