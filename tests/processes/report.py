"""The processes' part of ``make faults``: tables and figures."""

from __future__ import annotations

import re
from collections import Counter
from itertools import chain
from typing import NamedTuple

from tabulate import tabulate

from tests.processes.callers import Kind
from tests.processes.deployment import Deployment, NotInTime
from tests.processes.faults import PAIRS, SINGLES
from tests.processes.rounds import Verdict, run_round
from tests.processes.scenarios import (
    KNOWN_RED,
    SCENARIOS,
    Finding,
    Scenario,
)

CAUSE = re.compile(r' \(.*\)')


class Tally(NamedTuple):
    """How many cells kept every promise, and what the others broke."""

    passed: int
    broken: list[str]


def run_and_print() -> Tally:
    """Run every round and scenario over one deployment and print them."""
    with Deployment() as rig:
        rounds = [run_round(rig, fault) for fault in SINGLES + PAIRS]
        findings = [run_scenario(rig, scenario) for scenario in SCENARIOS]
        known = [run_scenario(rig, scenario) for scenario in KNOWN_RED]
    _print_rounds(rounds)
    _print_findings('processes: under steady load', findings)
    if known:
        _print_findings('processes: known red, see KNOWN-RED.txt', known)
    cells = [
        (f'{verdict.fault}, {verdict.kind}', verdict.broken)
        for verdict in chain.from_iterable(rounds)
    ]
    cells += [(finding.name, finding.broken) for finding in findings]
    broken = [f'{name}: {each}' for name, found in cells for each in found]
    return Tally(sum(not found for _, found in cells), broken)


def run_scenario(rig: Deployment, scenario: Scenario) -> Finding:
    """Run a scenario; what never happens in it is a finding, too.

    Raised further, it would take the tables of all other cells with it.
    """
    try:
        return scenario(rig)
    except NotInTime as error:
        broken = [f'not in time: {error}']
        return Finding(scenario.__name__, Counter(), broken, {})


def count_cells() -> int:
    """Count the cells: each kind of request in each round, each scenario."""
    return len(SINGLES + PAIRS) * len(Kind) + len(SCENARIOS)


def _print_rounds(rounds: list[list[Verdict]]) -> None:
    print("\nprocesses: fault by request, with callers' retries")
    rows = [
        [verdicts[0].fault, *(_show(each) for each in verdicts)]
        for verdicts in rounds
    ]
    headers = ['fault', *(kind.value for kind in Kind)]
    print(tabulate(rows, headers=headers, tablefmt='github'))


def _print_findings(title: str, findings: list[Finding]) -> None:
    print(f'\n{title}')
    rows = [
        [
            finding.name,
            'BROKEN' if finding.broken else 'kept',
            _count(finding.outcomes),
            ', '.join(
                f'{name}: {figure:.3g}'
                for name, figure in finding.measured.items()
            ),
        ]
        for finding in findings
    ]
    headers = ['scenario', 'promises', 'outcomes', 'measured (s, counts)']
    print(tabulate(rows, headers=headers, tablefmt='github'))


def _show(verdict: Verdict) -> str:
    shown = _count(verdict.outcomes)
    return f'BROKEN {shown}' if verdict.broken else shown


def _count(outcomes: Counter[str]) -> str:
    counted: Counter[str] = Counter()
    for outcome, times in outcomes.items():
        counted[CAUSE.sub('', outcome)] += times
    return ', '.join(f'{times} {outcome}' for outcome, times in counted.items())
