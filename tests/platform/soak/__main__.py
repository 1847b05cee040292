"""Plays soaks by hand.

``python -m tests.platform.soak FIRST END [ENTRIES RANKS ...]``.
"""

from __future__ import annotations

import sys
import tempfile
from collections import Counter
from pathlib import Path

import curio

from tests.platform.soak.judge import judge
from tests.platform.soak.play import Soak, SoakSize

SHOWN = 6


def main() -> None:
    """Play the seeds from the first number to before the second."""
    first, end, *others = map(int, sys.argv[1:])
    size = SoakSize(*others)
    broken = 0
    for seed in range(first, end):
        with tempfile.TemporaryDirectory() as directory:
            soak = Soak(seed, size, Path(directory))
            record = curio.run(soak.play)
        findings = judge(record)
        broken += bool(findings)
        statuses = Counter(
            f'{one.kind.name} {one.status}' for one in record.told
        )
        rules = Counter(finding.split()[0] for finding in findings)
        print(
            f'seed {seed}: {dict(rules)}, {len(record.told)} requests, '
            f'{len(record.signals)} signals, {dict(sorted(statuses.items()))}',
            flush=True,
        )
        for finding in findings[:SHOWN]:
            print(f'  {finding}', flush=True)
    print(f'{broken} of {end - first} soaks broken')


if __name__ == '__main__':
    main()
