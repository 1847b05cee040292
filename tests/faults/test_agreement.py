"""A part of the matrix of the agreement; ``make faults`` runs the whole.

Symptom looked for: two expert maps in a step, an older document in force, a
dead or leaving process taken for live, more than a customer's limit lent out;
or a system that does not work again. Sequence: one fault at one step of each
protocol. Cause: any of its guards left out.
"""

from __future__ import annotations

import pytest

from tests.faults.agreement import SECTIONS, judge
from tests.faults.sections import NOT_MET, Hit, Section, Trial

#: One cell of so many; a prime, so that it isn't always the same fault.
EVERY = 5


def choose_cells() -> list[Trial]:
    return [
        trial
        for section in SECTIONS.values()
        for trial in section.list_singles()[::EVERY]
    ]


@pytest.mark.parametrize('trial', choose_cells(), ids=str)
def test_promises_hold(trial: Trial) -> None:
    assert judge(trial).broken == ''


def test_fault_that_never_happened_is_not_held() -> None:
    """Symptom: a cell is green because nothing happened in it."""
    for section in SECTIONS.values():
        finding = section.judge(Trial(section.name, (Hit('none', 'loss'),)))
        assert finding.outcome == NOT_MET
        assert finding.broken


def test_broken_promise_is_shown(capsys: pytest.CaptureFixture[str]) -> None:
    def break_promise(hits: tuple[Hit, ...]) -> str:
        assert not hits, 'two maps'
        return 'held'

    section = Section('s', ('step',), ('loss',), (), break_promise)
    findings = [section.judge(trial) for trial in section.list_singles()]
    assert [bool(finding.broken) for finding in findings] == [False, True]
    section.print_singles(findings)
    assert 'BROKEN' in capsys.readouterr().out
