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
Act = Callable[[], None]


NOT_MET = 'not met'
LABELS = ('held', NOT_MET, 'BROKEN')


class NotMet(AssertionError):
    """A fault found no step to happen at: the cell would show nothing."""


class NotAtRest(AssertionError):
    """Faults are over, but the system does not work again."""


class Later:
    """What is to happen after a number of events."""

    def __init__(self) -> None:
        self.count = 0
        self._acts: list[tuple[int, Act]] = []

    def add(self, events: int, act: Act) -> None:
        """Have something happen after so many events."""
        self._acts.append((self.count + events, act))

    def advance(self) -> None:
        """Count an event, and let happen what is due."""
        self.count += 1
        self._run(self.count)

    def finish(self) -> None:
        """Let everything happen now."""
        self._run(max((due for due, _ in self._acts), default=0))

    def _run(self, until: int) -> None:
        due = [entry for entry in self._acts if entry[0] <= until]
        for entry in due:
            self._acts.remove(entry)
            entry[1]()


class Trial(NamedTuple):
    """One cell: a section and the faults that hit it."""

    section: str
    hits: Hits


class Finding(NamedTuple):
    """What came of a cell; ``broken`` names the promise that it broke."""

    trial: Trial
    outcome: str
    broken: str

    @property
    def met(self) -> bool:
        """Whether every fault found its step."""
        return self.outcome != NOT_MET


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
        except NotMet as error:
            # The first of two faults may leave no step for the second.
            alone = len(trial.hits) == 1
            return Finding(trial, NOT_MET, str(error) if alone else '')
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
            outcomes = [
                _sum_up(finding)
                for finding in findings
                if tuple(hit.fault for hit in finding.trial.hits) == pair
            ]
            counts = (outcomes.count(label) for label in LABELS)
            rows.append([*pair, *counts])
        print(f'\n{self.name}, pairs at any two steps')
        headers = ['first', 'second', *LABELS]
        print(tabulate(rows, headers=headers, tablefmt='github'))


def _sum_up(finding: Finding) -> str:
    if finding.broken:
        return 'BROKEN'
    return 'held' if finding.met else NOT_MET
