"""Prints the fault matrix: ``make faults``."""

from __future__ import annotations

import logging
import sys
from argparse import ArgumentParser
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from multiprocessing import Pool
from types import MappingProxyType
from typing import NamedTuple

import curio
from tabulate import tabulate

from tests.faults.agreement import SECTIONS, judge
from tests.faults.cells import (
    STEPS,
    Cell,
    Mode,
    Verdict,
    list_pair_cells,
    list_single_cells,
    run_cells,
)
from tests.faults.network import Kind
from tests.faults.sections import Finding
from tests.processes import report

WORKERS = 6
AT_ONCE = 20
SHARES = 60


class Tally(NamedTuple):
    """How many cells kept every promise, and how many did not."""

    passed: int
    failed: int


def run_share(cells: Sequence[Cell]) -> list[Verdict]:
    """Run a share of the cells in this process."""
    logging.disable(logging.WARNING)
    verdicts: list[Verdict] = curio.run(run_cells, cells, AT_ONCE)
    return verdicts


def run_all(cells: list[Cell]) -> list[Verdict]:
    """Run cells over a few processes."""
    shares = [cells[number::SHARES] for number in range(SHARES)]
    with Pool(WORKERS) as pool:
        parts = pool.map(run_share, [share for share in shares if share], 1)
    return [verdict for part in parts for verdict in part]


def print_singles(verdicts: list[Verdict]) -> None:
    """Print a table for each kind of request: step by fault."""
    found = {
        (verdict.cell.mode, verdict.cell.faults[0]): verdict
        for verdict in verdicts
    }
    for mode in Mode:
        rows = [
            [step, *(_show(found.get((mode, (step, kind)))) for kind in Kind)]
            for step in STEPS
        ]
        print(f'\n{mode} request, one fault at the named frame')
        headers = ['step', *(kind.value for kind in Kind)]
        print(tabulate(rows, headers=headers, tablefmt='github'))


def print_pairs(verdicts: list[Verdict]) -> None:
    """Print outcomes of pairs by the first fault's step and kind."""
    counted: defaultdict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    for verdict in verdicts:
        step, kind = verdict.cell.faults[0]
        outcome = verdict.outcome.split(' (')[0]
        label = 'BROKEN' if verdict.broken else outcome
        counted[step.value, kind.value][label] += 1
    labels = ('answered', 'not run', 'unknown', 'cut', 'BROKEN')
    rows = [
        [step, kind, *(outcomes[label] for label in labels)]
        for (step, kind), outcomes in counted.items()
    ]
    print('\npairs of faults, by the first of the two')
    headers = ['first step', 'first fault', *labels]
    print(tabulate(rows, headers=headers, tablefmt='github'))


def run_agreement() -> list[Finding]:
    """Run and print the sections on the agreement without a store."""
    found = []
    with Pool(WORKERS) as pool:
        for section in SECTIONS.values():
            singles = pool.map(judge, section.list_singles(), 1)
            section.print_singles(singles)
            if '--singles' not in sys.argv:
                pairs = pool.map(judge, section.list_pairs(), 1)
                section.print_pairs(pairs)
                found += pairs
            found += singles
    return found


def _show(verdict: Verdict | None) -> str:
    if verdict is None:
        return '-'
    return (
        '; '.join(['BROKEN', *verdict.broken])
        if (verdict.broken)
        else verdict.outcome
    )


def run_request_path() -> list[Verdict]:
    """Run and print the section on the request path."""
    singles = run_all(list_single_cells())
    print_singles(singles)
    pairs = run_all(list_pair_cells()) if '--singles' not in sys.argv else []
    print_pairs(pairs)
    return singles + pairs


def run_met_agreement() -> list[Finding]:
    """Run and print the agreement; leave out what did not meet."""
    agreement = run_agreement()
    met = [finding for finding in agreement if finding.met or finding.broken]
    missed = len(agreement) - len(met)
    print(f'\n{missed} pairs did not meet and are not counted')
    return met


def run_processes() -> Tally:
    """Run and print the section on real processes."""
    tally = report.run_and_print()
    for each in tally.broken:
        print(each)
    return Tally(tally.passed, report.count_cells() - tally.passed)


def run_cells_of(run: Callable[[], Sequence[Verdict | Finding]]) -> Tally:
    """Run a section of cells and print those that broke a promise."""
    verdicts = run()
    broken = [verdict for verdict in verdicts if verdict.broken]
    for verdict in broken:
        print(verdict)
    return Tally(len(verdicts) - len(broken), len(broken))


PARTS: Mapping[str, Callable[[], Tally]] = MappingProxyType(
    {
        'request-path': partial(run_cells_of, run_request_path),
        'agreement': partial(run_cells_of, run_met_agreement),
        'processes': run_processes,
    }
)


def main() -> int:
    """Run the matrix, or one part of it; exit 1 if any promise broke."""
    parser = ArgumentParser(prog='python -m tests.faults')
    parser.add_argument('--section', choices=PARTS, help='run only this part')
    parser.add_argument('--singles', action='store_true', help='no pairs')
    section = parser.parse_args().section
    parts = [section] if section else list(PARTS)
    tallies = [PARTS[part]() for part in parts]
    passed = sum(tally.passed for tally in tallies)
    failed = sum(tally.failed for tally in tallies)
    only = f' ({section} only)' if section else ''
    print(f'{passed} passed, {failed} failed{only}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
