"""Plays days by hand: ``python -m tests.platform.drills 0 30 [RANKS...]``."""

from __future__ import annotations

import sys
import tempfile
from collections import Counter
from pathlib import Path

import curio

from tests.platform.drills.day import Day, Size
from tests.platform.drills.judge import judge


def main() -> None:
    """Play the seeds from the first number to before the second."""
    first, end, *others = map(int, sys.argv[1:])
    size = Size(groups=tuple(others))
    broken = 0
    for seed in range(first, end):
        with tempfile.TemporaryDirectory() as directory:
            day = Day(seed, size, Path(directory))
            record = curio.run(day.play)
        findings = judge(record)
        broken += bool(findings)
        statuses = Counter(one.status for one in record.told)
        orders = Counter(one.group for one in record.groups.orders)
        print(
            f'seed {seed}: {len(findings)} findings, '
            f'{len(record.arrivals.crashes)} crashes, '
            f'orders {dict(orders)}, '
            f'statuses {dict(sorted(statuses.items()))}',
            flush=True,
        )
        for finding in findings[:5]:
            print(f'  {finding}', flush=True)
    print(f'{broken} of {end - first} days broken')


if __name__ == '__main__':
    main()
