"""What agreement on the expert map costs, against the group's size.

``python -m ospreyford.measure.expertmap`` prints the tables of
``docs/MEASUREMENTS-expertmap.md``. Members run in real time in one process;
messages are counted with the envelopes of :mod:`ospreyford.peers`.
"""

from __future__ import annotations

import statistics
import sys
import time
from typing import NamedTuple

import curio
from tabulate import tabulate

from ospreyford.measure.expertmap_group import MeasuredGroup

SIZES = (4, 8, 16, 32, 64)
LAYERS = 58
STEADY_SECONDS = 12.0
#: How long after a death the steps that did not run are counted.
WATCH_SECONDS = 6.0
DOWN_SECONDS = (0.5, 2.0)
POLL_SECONDS = 0.005
START_SECONDS = 20.0
MILLISECONDS = 1000
SETTLE_SECONDS = 4.0

STEADY_HEADERS = (
    'ranks',
    'steps/s',
    'messages/s, coordinator',
    'messages/s, other (median)',
    'bytes/s, coordinator',
    'bytes/s, other (median)',
    'CPU ms/s, whole group',
    'CPU ms/s per rank',
)
CHANGE_HEADERS = (
    'ranks',
    'map bytes',
    'seconds until in use',
    'steps lost',
    'bytes sent by the coordinator',
)
DEATH_HEADERS = ('ranks', 'seconds dead', 'steps lost', 'seconds lost')

Row = tuple[int | float, ...]


class Tables(NamedTuple):
    """Rows of the three tables."""

    steady: list[Row]
    change: list[Row]
    death: list[Row]


class GroupRun:
    """Measures one group.

    :param group: the group.
    :param tables: where the rows go.
    """

    def __init__(self, group: MeasuredGroup, tables: Tables) -> None:
        self._group = group
        self._tables = tables
        self._rate: float = 0

    async def measure(self) -> None:
        """Start the group, then measure it steady, changing and bereft."""
        stepping = await curio.spawn(self._group.step_forever, daemon=True)
        await self._start()
        await self._measure_steady()
        await self._measure_change()
        await self._measure_deaths()
        await self._group.stop()
        await stepping.cancel()

    async def _start(self) -> None:
        for slot in range(self._group.ranks):
            await self._group.start(slot)
        self._group.offer(1, LAYERS)
        await self._await_revision(1)
        # Let the windows settle after the start.
        await curio.sleep(SETTLE_SECONDS)

    async def _measure_steady(self) -> None:
        group = self._group
        group.network.messages.clear()
        group.network.sizes.clear()
        group.engine_seconds = 0
        started, steps = time.thread_time(), group.steps
        await curio.sleep(STEADY_SECONDS)
        used = time.thread_time() - started - group.engine_seconds
        self._rate = (group.steps - steps) / STEADY_SECONDS
        cost = used * MILLISECONDS / STEADY_SECONDS
        row = (
            group.ranks,
            self._rate,
            *_find_ends(group.network.messages, group.ranks),
            *_find_ends(group.network.sizes, group.ranks),
            cost,
            cost / group.ranks,
        )
        self._tables.steady.append(row)

    async def _measure_change(self) -> None:
        group = self._group
        group.network.sizes.clear()
        started, stalls = time.monotonic(), group.stalls
        size = group.offer(2, LAYERS)
        await self._await_revision(2)
        waited = time.monotonic() - started
        sent = group.network.sizes[0]
        lost = group.stalls - stalls
        self._tables.change.append((group.ranks, size, waited, lost, sent))

    async def _measure_deaths(self) -> None:
        group = self._group
        down = list(DOWN_SECONDS)
        while down:
            seconds = down.pop(0)
            stalls = group.stalls
            await group.kill(0)
            await curio.sleep(seconds)
            await group.start(0)
            await curio.sleep(WATCH_SECONDS - seconds)
            lost = group.stalls - stalls
            row = (group.ranks, seconds, lost, lost / self._rate)
            self._tables.death.append(row)

    async def _await_revision(self, revision: int) -> None:
        async with curio.timeout_after(START_SECONDS):
            while self._group.revision != revision:
                await curio.sleep(POLL_SECONDS)


def _find_ends(counts: dict[int, int], ranks: int) -> tuple[float, float]:
    """Tell the rate of the coordinator and the median of the others."""
    rates = sorted(
        counts.get(slot, 0) / STEADY_SECONDS for slot in range(ranks)
    )
    return rates[-1], statistics.median(rates[:-1])


def main() -> None:
    """Print the tables."""
    tables = Tables([], [], [])
    for ranks in SIZES:
        run = GroupRun(MeasuredGroup(ranks), tables)
        curio.run(run.measure)
    for headers, rows in (
        (STEADY_HEADERS, tables.steady),
        (CHANGE_HEADERS, tables.change),
        (DEATH_HEADERS, tables.death),
    ):
        table = tabulate(rows, headers, tablefmt='github', floatfmt='.2f')
        sys.stdout.writelines((table, '\n\n'))


if __name__ == '__main__':
    main()
