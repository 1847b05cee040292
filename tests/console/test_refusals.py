"""Refused streams and the room that others had, from piles of lines."""

from __future__ import annotations

import io
import sys
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import msgspec
import pytest

from ospreyford.console.failures import NotInLogs
from ospreyford.console.pile import Pile, parse_line
from ospreyford.console.refusals import Refusal, list_refusals
from ospreyford.observability.events import Ready
from tests.console.test_ctl import run_ctl
from tests.console.test_story import ENDED, make_line

SECOND = 1000


def make_gate(running: int, easy: float, age_ms: int = 40) -> dict[str, Any]:
    return {
        'running': running,
        'waiting': 1,
        'late': 1,
        'easy': easy,
        'full': easy + 1,
        'pass_ms': 90,
        'age_ms': age_ms,
        'is_repeat': False,
    }


REFUSED = replace(
    ENDED,
    request_id='r7',
    verdict='NotRun',
    gate=make_gate(2, 0.3, 1265),
    took_ms=300,
    waited_ms=-1,
)
ADMITTED = replace(
    ENDED,
    verdict='Answered',
    gate=make_gate(2, 5.5),
    took_ms=2 * SECOND,
    waited_ms=100,
)


def make_pile(*lines: bytes) -> Pile:
    parsed = [parse_line(one) for one in lines]
    return Pile(tuple(one for one in parsed if one is not None), 0)


def find_refusal(lines: Sequence[bytes]) -> Refusal:
    refusals = list_refusals(make_pile(*lines))
    assert len(refusals) == 1
    return refusals[0]


#: When another entry admitted a stream, in seconds after the refusal, its
#: places and streams, and what counts as free there.
OTHERS = (
    (0.2, make_gate(2, 5.5), 3.5, 1),
    (-0.4, make_gate(7, 5.5), 0, 1),
    (0.1, make_gate(2, -1), 0, 1),
    (0.7, make_gate(2, 5.5), 0, 0),
)


@pytest.mark.parametrize(('after', 'gate', 'free', 'entries'), OTHERS)
def test_room_elsewhere_is_of_that_moment(
    after: float, gate: dict[str, Any], free: float, entries: int
) -> None:
    """An entry refused streams while others had places left."""
    ended_at = 10 + after + 1.9
    lines = (
        make_line(10, 'e1', REFUSED),
        make_line(ended_at, 'e2', replace(ADMITTED, gate=gate)),
    )
    refusal = find_refusal(lines)
    assert (refusal.entry, refusal.request_id) == ('e1', 'r7')
    assert (refusal.age_ms, refusal.waited_ms) == (1265, 300)
    assert (refusal.free_elsewhere, refusal.entries) == (free, entries)


def test_only_the_newest_decision_of_an_entry_counts() -> None:
    lines = [make_line(10, 'e1', REFUSED)]
    for after, running in ((0.1, 1), (0.3, 4)):
        gate = make_gate(running, 5.5)
        admitted = replace(ADMITTED, gate=gate)
        lines.append(make_line(10 + after + 1.9, 'e2', admitted))
    refusal = find_refusal(lines)
    assert (refusal.free_elsewhere, refusal.entries) == (1.5, 1)


def test_each_group_of_an_entry_counts() -> None:
    """A service may have several groups, each with places of its own."""
    lines = [make_line(10, 'e1', REFUSED)]
    for group, running in (('g', 1), ('h', 4)):
        gate = make_gate(running, 5.5) | {'group': group}
        lines.append(make_line(11.9, 'e2', replace(ADMITTED, gate=gate)))
    refusal = find_refusal(lines)
    assert (refusal.free_elsewhere, refusal.entries) == (6, 1)


def test_the_entry_itself_and_other_services_do_not_count() -> None:
    lines = (
        make_line(10, 'e1', REFUSED),
        make_line(11.9, 'e1', ADMITTED),
        make_line(11.9, 'e2', replace(ADMITTED, service='other')),
    )
    refusal = find_refusal(lines)
    assert refusal.entries == 0


def test_logs_without_streams_say_so() -> None:
    with pytest.raises(NotInLogs):
        list_refusals(make_pile(make_line(1, 'e1', Ready())))


def test_the_command_lists_refusals(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    lines = b'\n'.join((make_line(10, 'e1', REFUSED),))
    monkeypatch.setattr(sys, 'stdin', io.TextIOWrapper(io.BytesIO(lines)))
    told = run_ctl('--output json refusals', monkeypatch, capsys)
    assert told.code == 0
    rows = msgspec.json.decode(told.output)
    assert rows[0]['request_id'] == 'r7'
    assert rows[0]['at'] == '2027-01-15T08:00:10.000+00:00'
