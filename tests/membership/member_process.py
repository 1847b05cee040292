"""A member in its own process, for tests that pause it."""

from __future__ import annotations

import sys

import curio

from tests.membership.real_members import start_member

MAX_RUNTIME_SECONDS = 60


async def main(name: str, seed: str) -> None:
    """Run until replaced; print the address and the later incarnation."""
    node, membership = await start_member(name, (seed,))
    sys.stdout.write(f'{node.address}\n')
    sys.stdout.flush()
    async with curio.timeout_after(MAX_RUNTIME_SECONDS):
        replaced = await membership.run()
    sys.stdout.write(f'{replaced.incarnation}\n')
    await node.stop()


if __name__ == '__main__':
    curio.run(main, *sys.argv[1:])
