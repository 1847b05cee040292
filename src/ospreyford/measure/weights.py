"""What a map change costs whose weights have to be read.

``python -m ospreyford.measure.weights`` prints the table of
``docs/MEASUREMENTS-expertmap.md``. Members run in real time in one process,
over a modelled weight store that reads one expert after the other at its
rate; the change moves every expert to the next rank.
"""

from __future__ import annotations

import sys
import time

import curio
from tabulate import tabulate

from ospreyford.expertmap.readcredits import WeightLimits
from ospreyford.measure.expertmap_group import MeasuredGroup

SIZES = (8, 64)
LAYERS = 4
EXPERT_BYTES = 1_000_000
RATE = 20_000_000
SLOTS = 64
LIMIT_SECONDS = 120.0
SETTLE_SECONDS = 6.0
POLL_SECONDS = 0.05
HEADERS = (
    'ranks',
    'bytes read',
    'seconds until in use',
    'seconds by the share alone',
    'bytes/s, most in any second',
    'load orders',
    'drop orders',
    'experts left over',
    'steps lost',
    'steps without weights',
    'bytes by the coordinator',
)

Row = list[int | float]


class ChangeRun:
    """Measures one change.

    :param ranks: size of the group.
    """

    def __init__(self, ranks: int) -> None:
        pace = WeightLimits(EXPERT_BYTES, RATE, SLOTS)
        self._group = MeasuredGroup(ranks, pace)
        self._reads: list[float] = []

    async def measure(self) -> Row:
        """Start the group, change its map and wait for the drops.

        :returns: the row.
        """
        group = self._group
        await curio.spawn(group.step_forever, daemon=True)
        await curio.spawn(self._read_store, daemon=True)
        for slot in range(group.ranks):
            await group.start(slot)
        group.offer(1, LAYERS)
        await self._await_revision(1)
        await curio.sleep(SETTLE_SECONDS)
        return await self._change()

    async def _change(self) -> Row:
        group = self._group
        group.network.sizes.clear()
        self._reads.clear()
        before = self._count('load_orders'), self._count('drop_orders')
        started, stalls = time.monotonic(), group.stalls
        group.offer(2, LAYERS)
        await self._await_revision(2)
        waited = time.monotonic() - started
        sent = group.network.sizes[0]
        await curio.sleep(SETTLE_SECONDS)
        held = sum(len(engine.memory.held) for engine in group.engines)
        size = len(self._reads) * EXPERT_BYTES
        return [
            group.ranks,
            size,
            waited,
            size / RATE,
            self._find_peak(),
            self._count('load_orders') - before[0],
            self._count('drop_orders') - before[1],
            held - len(self._reads),
            group.stalls - stalls,
            group.lacks,
            sent,
        ]

    async def _read_store(self) -> None:
        while True:
            waiting = [
                each for each in self._group.engines if each.memory.queue
            ]
            for engine in waiting:
                # Faster than the share, so that only the leave can pace.
                await curio.sleep(EXPERT_BYTES / RATE / 4)
                self._reads.append(time.monotonic())
                one = engine.memory.queue[0]
                engine.memory.arrive(one, EXPERT_BYTES)
            await curio.sleep(POLL_SECONDS / 10)

    def _find_peak(self) -> int:
        counts = [
            sum(start <= each < start + 1 for each in self._reads)
            for start in self._reads
        ]
        return max(counts, default=0) * EXPERT_BYTES

    def _count(self, kind: str) -> int:
        parts = [each.weights for each in self._group.services.values()]
        return sum(part.counts[kind] for part in parts if part is not None)

    async def _await_revision(self, revision: int) -> None:
        async with curio.timeout_after(LIMIT_SECONDS):
            while self._group.revision != revision:
                await curio.sleep(POLL_SECONDS)


def main() -> None:
    """Print the table."""
    rows = [curio.run(ChangeRun(ranks).measure) for ranks in SIZES]
    table = tabulate(rows, HEADERS, tablefmt='github', floatfmt='.2f')
    sys.stdout.writelines((table, '\n'))


if __name__ == '__main__':
    main()
