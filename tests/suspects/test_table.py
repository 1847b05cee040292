"""Merging of suspected requests between processes."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.rebalance.messages import MAX_DATAGRAM_BYTES, encode
from ospreyford.suspects.messages import (
    SuspectReport,
    ToldStrike,
    ToldSuspect,
)
from ospreyford.suspects.suspect import Suspect
from ospreyford.suspects.table import (
    BLOCKED_RETENTION_SECONDS,
    CLEARED_RETENTION_SECONDS,
    MAX_STRIKES,
    MAX_SUSPECTS,
    MAX_TEXT_CHARACTERS,
    STRIKE_RETENTION_SECONDS,
    SuspectTable,
)
from ospreyford.suspects.times import MAX_REQUESTS, LatestTimes

LIMIT = 3


def make_suspect(number: int = 0, limit: int = LIMIT) -> Suspect:
    return Suspect(number.to_bytes(16), 'customer', '/a/b', limit)


def make_table(strikes: int, now: float = 100, number: int = 0) -> SuspectTable:
    table = SuspectTable()
    for strike_id in range(strikes):
        table.add_strike(make_suspect(number), strike_id, now)
    return table


def exchange(one: SuspectTable, other: SuspectTable, now: float) -> None:
    told = one.encode(now)
    one.merge(other.encode(now), now)
    other.merge(told, now)


def count_active(table: SuspectTable, number: int = 0) -> int:
    suspect = table.find(number.to_bytes(16))
    return len(suspect.list_active()) if suspect else 0


#: Process, kind of step, and request or other process.
STEPS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.sampled_from(('strike', 'clear', 'tell', 'tell twice')),
        st.integers(0, 2),
        st.integers(0, 5),
    ),
    max_size=40,
)


@settings(derandomize=True, deadline=None)
@given(steps=STEPS)
def test_processes_converge(
    steps: list[tuple[int, str, int, int]],
) -> None:
    """Repeated, reordered and lost messages must not change the outcome."""
    tables = [SuspectTable() for _ in range(4)]
    now = 100.0
    for process, kind, number, strike_id in steps:
        now += 0.01
        table = tables[process]
        match kind:
            case 'strike':
                table.add_strike(make_suspect(number), strike_id, now)
            case 'clear':
                table.clear(number.to_bytes(16), now)
            case 'tell':
                tables[number].merge(table.encode(now), now)
            case _:
                told = table.encode(now)
                tables[number].merge(told, now)
                tables[number].merge(told, now + 0.005)
    for _ in range(2):
        for one in tables:
            for other in tables:
                exchange(one, other, now)
    assert len({table.compute_digest() for table in tables}) == 1
    assert all(
        count_active(table, number) == count_active(tables[0], number)
        for table in tables
        for number in range(3)
    )


def test_a_crash_seen_by_two_entries_counts_once() -> None:
    one, other = make_table(1), make_table(1)
    exchange(one, other, 101)
    assert count_active(one) == count_active(other) == 1


def test_a_clearance_is_not_undone_by_an_older_message() -> None:
    """A late message must not block a request that was answered since."""
    table = make_table(LIMIT)
    old = table.encode(100)
    table.clear(bytes(16), 101)
    assert not table.merge(old, 102)
    assert count_active(table) == 0


def test_a_clearance_reaches_a_process_before_its_crash() -> None:
    table = make_table(1)
    told = table.encode(100)
    table.clear(bytes(16), 101)
    other = SuspectTable()
    other.merge(table.encode(101), 101)
    other.merge(told, 102)
    assert count_active(other) == 0


#: Crashes, whether they are cleared, and for how long they are remembered.
RETENTIONS = (
    (1, False, STRIKE_RETENTION_SECONDS),
    (LIMIT, False, BLOCKED_RETENTION_SECONDS),
    (LIMIT, True, CLEARED_RETENTION_SECONDS),
)


@pytest.mark.parametrize(('strikes', 'is_cleared', 'seconds'), RETENTIONS)
def test_retention(strikes: int, is_cleared: bool, seconds: float) -> None:
    table = make_table(strikes)
    if is_cleared:
        table.clear(bytes(16), 100)
    told = table.encode(100 + seconds - 1)
    table.expire(100 + seconds - 1)
    assert len(table) == 1
    table.expire(100 + seconds)
    assert not len(table)
    assert not table.compute_digest()
    # Another process forgets it at the same time.
    other = SuspectTable()
    other.merge(told, 100 + seconds - 1)
    other.expire(100 + seconds)
    assert not len(other)


def test_tables_are_bounded() -> None:
    """Many suspected requests must not exhaust memory or a datagram."""
    table = make_table(LIMIT, number=MAX_SUSPECTS * 3)
    for number in range(MAX_SUSPECTS + 9):
        table.add_strike(make_suspect(number), 1, 101)
    assert len(table) == MAX_SUSPECTS
    # The one with the most crashes stays.
    assert count_active(table, MAX_SUSPECTS * 3) == LIMIT
    for strike_id in range(MAX_STRIKES + 5):
        table.add_strike(make_suspect(1), strike_id, 101)
    suspect = table.find((1).to_bytes(16))
    assert suspect is not None
    assert len(suspect.strikes) == MAX_STRIKES


def test_full_report_fits_a_datagram() -> None:
    table = SuspectTable()
    for number in range(MAX_SUSPECTS):
        for strike_id in range(LIMIT):
            suspect = Suspect(
                number.to_bytes(16),
                'a customer of usual name',
                '/path/of/usual/length',
                LIMIT,
            )
            table.add_strike(suspect, (strike_id + 1) << 60, 100)
    report = SuspectReport(table.encode(9000), table.compute_digest())
    assert len(encode(report)) < MAX_DATAGRAM_BYTES


STRIKES = (ToldStrike(1, is_cleared=False, age_ms=0),)
OLD_CLEARANCE = (ToldStrike(1, is_cleared=True, age_ms=10**9),)
FOREIGN = (
    ToldSuspect(b'short', 'c', '/', LIMIT, STRIKES),
    ToldSuspect(bytes(16), 'c', '/', 0, STRIKES),
    ToldSuspect(bytes(16), 'c', '/', LIMIT, ()),
    ToldSuspect(bytes(16), 'c', '/', LIMIT, OLD_CLEARANCE),
)


@pytest.mark.parametrize('told', FOREIGN)
def test_unusable_reports_change_nothing(told: ToldSuspect) -> None:
    table = SuspectTable()
    assert not table.merge([told], 100)
    assert not len(table)


def test_foreign_texts_are_cut() -> None:
    long = 'x' * 9000
    strike = ToldStrike(1, is_cleared=False, age_ms=-5)
    told = ToldSuspect(bytes(16), long, long, LIMIT, (strike,))
    table = SuspectTable()
    table.merge([told], 100)
    suspect = table.find(bytes(16))
    assert suspect is not None
    assert len(suspect.path) == MAX_TEXT_CHARACTERS
    assert suspect.list_active()[0].changed_at <= 100


def test_reports_are_decoded_as_encoded() -> None:
    table = make_table(2)
    report = SuspectReport(table.encode(130), table.compute_digest())
    raw = msgspec.msgpack.encode(report)
    assert msgspec.msgpack.decode(raw, type=SuspectReport) == report


def test_times_are_bounded() -> None:
    times = LatestTimes()
    for number in range(MAX_REQUESTS + 9):
        times.record(number.to_bytes(16), number)
    assert len(times) == MAX_REQUESTS
    assert times.find(bytes(16)) is None
    last = (MAX_REQUESTS + 8).to_bytes(16)
    assert times.find(last) == MAX_REQUESTS + 8
    times.forget(last)
    assert times.find(last) is None
