"""Peer in a separate process, for tests that pause it."""

from __future__ import annotations

import sys

import curio

from ospreyford.peers.node import PeerNode
from ospreyford.peers.settings import PeerSettings

LIFE_SECONDS = 60


async def main() -> None:
    """Record requests of topic ``note``; return them on topic ``noted``."""
    noted: list[bytes] = []

    async def note(body: bytes) -> bytes:
        noted.append(body)
        return body

    async def tell(body: bytes) -> bytes:
        return b','.join(noted)

    node = PeerNode(PeerSettings(address='127.0.0.1:0'), 'responder')
    node.serve('note', note)
    node.serve('noted', tell)
    await node.start()
    sys.stdout.write(f'{node.address}\n')
    sys.stdout.flush()
    await curio.sleep(LIFE_SECONDS)


if __name__ == '__main__':
    curio.run(main)
