"""Sections of the matrix that need no network: step by fault, by referee."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import product
from typing import NamedTuple

from tabulate import tabulate


class Hit(NamedTuple):
    """A fault and the step that it happens at."""

    step: str
    fault: str


Hits = tuple[Hit, ...]


class NotMet(AssertionError):
    """A fault found no step to happen at: the cell would show nothing."""


class NotAtRest(AssertionError):
    """Faults are over, but the system does not work again."""


class Trial(NamedTuple):
    """One cell: a section and the faults that hit it."""

    section: str
    hits: Hits


class Finding(NamedTuple):
    """What came of a cell; ``broken`` names the promise that it broke."""

    trial: Trial
    outcome: str
    broken: str


@dataclass(frozen=True)
class Section:
    """A part of the agreement.

    :param name: what the table is headed with.
    :param steps: where faults happen.
    :param faults: what happens there.
    :param paired: which two faults meet in pairs, at any two steps.
    :param run: runs one cell; an ``AssertionError`` is a broken promise.
    :param meaningless: faults that can't happen at some step.
    """

    name: str
    steps: tuple[str, ...]
    faults: tuple[str, ...]
    paired: tuple[tuple[str, str], ...]
    run: Callable[[Hits], str]
    meaningless: frozenset[Hit] = frozenset()

    def list_singles(self) -> list[Trial]:
        """Every fault at every step, alone, and the run without any."""
        hits = [Hit(*pair) for pair in product(self.steps, self.faults)]
        meant = [hit for hit in hits if hit not in self.meaningless]
        return [
            Trial(self.name, ()),
            *(Trial(self.name, (hit,)) for hit in meant),
        ]

    def list_pairs(self) -> list[Trial]:
        """The stated pairs of faults, at every two steps."""
        pairs = [
            (Hit(first, one), Hit(second, other))
            for one, other in self.paired
            for first, second in product(self.steps, self.steps)
        ]
        return [
            Trial(self.name, pair)
            for pair in pairs
            if self.meaningless.isdisjoint(pair)
        ]

    def judge(self, trial: Trial) -> Finding:
        """Run a cell and say what came of it."""
        try:
            outcome = self.run(trial.hits)
        except AssertionError as error:
            broken = f'{type(error).__name__} {error}'
            return Finding(trial, 'BROKEN', broken[:400])
        return Finding(trial, outcome, '')

    def print_singles(self, findings: Sequence[Finding]) -> None:
        """Print step by fault."""
        found = {finding.trial.hits: finding.outcome for finding in findings}
        rows = [
            [
                step,
                *(found.get((Hit(step, fault),), '-') for fault in self.faults),
            ]
            for step in self.steps
        ]
        print(f'\n{self.name}; without a fault: {found[()]}')
        headers = ['step', *self.faults]
        print(tabulate(rows, headers=headers, tablefmt='github'))

    def print_pairs(self, findings: Sequence[Finding]) -> None:
        """Print how many step pairs of each fault pair hold."""
        rows = []
        for pair in self.paired:
            broken = [
                bool(finding.broken)
                for finding in findings
                if tuple(hit.fault for hit in finding.trial.hits) == pair
            ]
            held = len(broken) - sum(broken)
            rows.append([*pair, held, sum(broken)])
        print(f'\n{self.name}, pairs at any two steps')
        headers = ['first', 'second', 'held', 'BROKEN']
        print(tabulate(rows, headers=headers, tablefmt='github'))
