"""Whether a request that may crash backends is sent."""

from __future__ import annotations

import itertools
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.suspects.bursts import (
    MAX_SPARED,
    WINDOW_SECONDS,
    BurstDetector,
    Crash,
)
from ospreyford.suspects.decisions import (
    EVENT_TRIAL_SECONDS,
    GROUP_LIMIT,
    GROUP_TRIAL_SECONDS,
    OTHER_ENTRY_FACTOR,
    PLAIN_LIMIT,
    PLAIN_TRIAL_SECONDS,
    Decision,
    decide,
)
from ospreyford.suspects.identities import compute_identity, compute_strike_id
from ospreyford.suspects.suspect import Strike, Suspect
from ospreyford.suspects.table import SuspectTable

IDENTITY = bytes(16)
#: Trials allowed after the third crash.
MAX_TRIALS = 3


class Case(NamedTuple):
    """A suspected request and the decision.

    :param limit: crashes at which it is blocked.
    :param crashed_at: times of its crashes, in seconds.
    :param is_own: whether this entry saw the latest one.
    :param trial_at: time of the latest trial, if any.
    :param now: time of the decision.
    :param decision: the decision.
    """

    limit: int
    crashed_at: tuple[float, ...]
    is_own: bool
    trial_at: float | None
    now: float
    decision: Decision


FIRST, SECOND, THIRD = PLAIN_TRIAL_SECONDS
CASES = (
    Case(PLAIN_LIMIT, (), True, None, 1, Decision.send),
    Case(PLAIN_LIMIT, (0, 1), True, None, 2, Decision.send),
    Case(PLAIN_LIMIT, (0, 1, 2), True, None, 2, Decision.block),
    Case(PLAIN_LIMIT, (0, 1, 2), True, None, 2 + FIRST, Decision.trial),
    Case(PLAIN_LIMIT, (0, 1, 2), True, 20, 2 + FIRST, Decision.block),
    # Entries that did not see the latest crash wait longer.
    Case(PLAIN_LIMIT, (0, 1, 2), False, None, 2 + FIRST, Decision.block),
    Case(
        PLAIN_LIMIT,
        (0, 1, 2),
        False,
        None,
        2 + FIRST * OTHER_ENTRY_FACTOR,
        Decision.trial,
    ),
    # Each failed trial delays the next one; after the last there are none.
    Case(PLAIN_LIMIT, (0, 1, 2, 40), True, None, 40 + FIRST, Decision.block),
    Case(PLAIN_LIMIT, (0, 1, 2, 40), True, None, 40 + SECOND, Decision.trial),
    Case(PLAIN_LIMIT, (0, 1, 2, 3, 4), True, None, 4 + THIRD, Decision.trial),
    Case(PLAIN_LIMIT, (0, 1, 2, 3, 4, 5), True, None, 1e6, Decision.block),
    # Crashes at one moment may be of a rack on which it ran.
    Case(
        PLAIN_LIMIT,
        (0, 0.1, 0.1),
        True,
        None,
        0.1 + EVENT_TRIAL_SECONDS,
        Decision.trial,
    ),
    # In a rank group the second crash blocks.
    Case(GROUP_LIMIT, (0,), True, None, 1, Decision.send),
    Case(GROUP_LIMIT, (0, 9), True, None, 9, Decision.block),
    Case(
        GROUP_LIMIT,
        (0, 9),
        True,
        None,
        9 + GROUP_TRIAL_SECONDS[0],
        Decision.trial,
    ),
    Case(
        GROUP_LIMIT,
        (0, 0),
        True,
        None,
        EVENT_TRIAL_SECONDS,
        Decision.trial,
    ),
)


@pytest.mark.parametrize(
    ('limit', 'crashed_at', 'is_own', 'trial_at', 'now', 'decision'), CASES
)
def test_decisions(
    limit: int,
    crashed_at: tuple[float, ...],
    is_own: bool,
    trial_at: float | None,
    now: float,
    decision: Decision,
) -> None:
    strikes = {
        number: Strike(False, at, is_own)
        for number, at in enumerate(crashed_at)
    }
    suspect = Suspect(IDENTITY, 'c', '/', limit, strikes)
    assert decide(suspect, trial_at, now) is decision


def test_unknown_requests_are_sent() -> None:
    assert decide(None, None, 1) is Decision.send


class Entry:
    """An entry's table and trials, on the shared clock."""

    def __init__(self) -> None:
        self.table = SuspectTable()
        self.trial_at: float | None = None

    def ask(self, now: float, strike_id: int, limit: int) -> bool:
        """Send a crasher if allowed; returns whether it was sent."""
        decision = decide(self.table.find(IDENTITY), self.trial_at, now)
        if decision is Decision.block:
            return False
        if decision is Decision.trial:
            self.trial_at = now
        suspect = Suspect(IDENTITY, 'c', '/', limit)
        self.table.add_strike(suspect, strike_id, now)
        return True


@settings(derandomize=True, deadline=None)
@given(
    limit=st.sampled_from((PLAIN_LIMIT, GROUP_LIMIT)),
    gaps=st.lists(
        st.sampled_from((0.35, 0.7, 3, 31, 130, 601, 2401, 3601)),
        min_size=1,
        max_size=80,
    ),
    turns=st.lists(st.integers(0, 3), min_size=80, max_size=80),
)
def test_no_crasher_gets_past_its_bound(
    limit: int, gaps: list[float], turns: list[int]
) -> None:
    """Whatever entry it reaches, and whatever the pauses between.

    Entries have told each other before it comes again.
    """
    entries = [Entry() for _ in range(4)]
    now = 1000.0
    crashes = 0
    for gap, turn in zip(gaps, turns, strict=False):
        now += gap
        crashes += entries[turn].ask(now, crashes, limit)
        for one, other in itertools.permutations(entries, 2):
            one.table.merge(other.table.encode(now), now)
    assert crashes <= PLAIN_LIMIT + MAX_TRIALS


@settings(derandomize=True, deadline=None)
@given(crashes=st.lists(st.floats(0.1, 600), max_size=9))
def test_innocent_request_is_freed_by_its_next_trial(
    crashes: list[float],
) -> None:
    """No request that never crashes a backend stays blocked.

    It runs beside crashes of other causes; a whole answer clears it.
    """
    table = SuspectTable()
    now = 0.0
    for number, gap in enumerate(crashes):
        now += gap
        suspect = Suspect(IDENTITY, 'c', '/', PLAIN_LIMIT)
        table.add_strike(suspect, number, now)
        decision = decide(table.find(IDENTITY), None, now + FIRST)
        if decision is not Decision.block:
            table.clear(IDENTITY, now + FIRST)
    blocked = table.find(IDENTITY)
    is_blocked = blocked is not None and blocked.is_at_limit()
    later = decide(blocked, None, now + FIRST)
    assert not is_blocked or later is Decision.trial


def make_crashes(*pairs: tuple[int, int], gap: float = 0.01) -> list[Crash]:
    return [
        Crash(identity.to_bytes(16), strike_id, 50 + gap * number)
        for number, (identity, strike_id) in enumerate(pairs)
    ]


RACK = ((1, 1), (2, 2), (3, 3), (4, 4))
ALONE = ((1, 1), (1, 2), (1, 3), (1, 4))
BESIDE = ((2, 1), (3, 2), (4, 4))
SERIES = ALONE + BESIDE
#: Request and crashed backend of each loss, and the requests spared.
BURSTS = (
    # A rack: each request was on one of its backends.
    (RACK, {1, 2, 3, 4}),
    # Two requests beside each other on one backend.
    (((1, 1), (2, 1)), set[int]()),
    # One request crashes backend after backend; others ran beside it.
    (SERIES, {2, 3, 4}),
    # Three backends at one moment may be three crashers.
    (RACK[:3], set[int]()),
)


@pytest.mark.parametrize(('pairs', 'spared'), BURSTS)
def test_bursts(pairs: tuple[tuple[int, int], ...], spared: set[int]) -> None:
    """A lost rack must not block the requests that ran on it."""
    detector = BurstDetector()
    found: set[int] = set()
    for crash in make_crashes(*pairs):
        found |= {
            int.from_bytes(one.identity) for one in detector.record(crash)
        }
    assert found == spared


def test_crashes_apart_are_no_burst() -> None:
    detector = BurstDetector()
    crashes = make_crashes(
        (1, 1), (2, 2), (3, 3), (4, 4), gap=WINDOW_SECONDS + 0.1
    )
    assert not any([detector.record(crash) for crash in crashes])


def test_requests_are_spared_once() -> None:
    """Crashers that always come together must be blocked all the same."""
    detector = BurstDetector()
    assert any([detector.record(one) for one in make_crashes(*RACK)])
    again = [
        one._replace(seen_at=one.seen_at + 60) for one in make_crashes(*RACK)
    ]
    assert not any([detector.record(one) for one in again])


def test_spared_requests_are_bounded() -> None:
    detector = BurstDetector()
    pairs = [(number, number) for number in range(MAX_SPARED + 9)]
    for crash in make_crashes(*pairs, gap=0):
        detector.record(crash)
    assert len(detector._spared) <= MAX_SPARED  # noqa: SLF001


IDENTITIES = (
    (b'salt', 'c', '/a', b'body'),
    (b'other', 'c', '/a', b'body'),
    (b'salt', 'd', '/a', b'body'),
    (b'salt', 'c', '/b', b'body'),
    (b'salt', 'c', '/a?x=1', b'body'),
    (b'salt', 'c', '/a', b'other'),
    # Fields must not run into each other.
    (b'salt', 'c/', 'a', b'body'),
    (b'salt', 'c', '/ab', b'ody'),
)


def test_identities_differ() -> None:
    found = {compute_identity(*parts) for parts in IDENTITIES}
    assert len(found) == len(IDENTITIES)
    assert compute_identity(*IDENTITIES[0]) in found


def test_crashes_of_two_processes_differ() -> None:
    assert compute_strike_id('i-1', 1) != compute_strike_id('i-1', 2)
    assert compute_strike_id('i-1', 1) == compute_strike_id('i-1', 1)
