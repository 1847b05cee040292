"""Checks of a soak's record: each promise by itself."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from types import MappingProxyType
from typing import Final

from tests.platform.fleet import BOUNDS
from tests.platform.soak.record import (
    ONCE,
    Kind,
    Run,
    Signalled,
    SoakRecord,
    Told,
)

GRACE_SECONDS = BOUNDS.grace_seconds
#: Statuses that promise that the request has not run and never will.
PROMISES = frozenset((429, 503, 408, 421))
#: An unread request may cross the close of its connection for this long.
CROSSING_SECONDS = 0.2
#: Requests sent later than this after SIGTERM must not be taken.
TAKEN_SECONDS = 3.0
#: Runs in the last part of the grace may be cut.
LAST_FRACTION = 5 / 6
#: A deadline may pass a little sooner for an entry than for its caller.
DEADLINE_MARGIN = 0.1
TIMEOUTS: Final = MappingProxyType(
    {Kind.stream: 7.0, Kind.single: 7.0, Kind.unsafe: 2.0, Kind.safe: 2.0}
)


def judge(record: SoakRecord) -> list[str]:
    """Judge a soak.

    :param record: what was seen.
    :returns: the broken promises.
    """
    checks = (
        find_lost,
        find_hung,
        find_untrue_promises,
        find_repeated_runs,
        find_unasked_ends,
        find_failed_tasks,
    )
    return [finding for check in checks for finding in check(record)]


def find_lost(record: SoakRecord) -> Iterator[str]:
    """Find requests whose connection ended without a complete answer."""
    runs = group_runs(record)
    for told in record.told:
        if told.is_whole or told.error == 'timeout':
            continue
        if not is_excused(told, runs[told.request_id], record.signals):
            yield f'LOST {describe(record, told)}'


def find_hung(record: SoakRecord) -> Iterator[str]:
    """Find requests without an end after their route's timeout."""
    for told in record.told:
        if told.error == 'timeout':
            yield f'HUNG {describe(record, told)}'


def is_excused(told: Told, runs: list[Run], signals: list[Signalled]) -> bool:
    """Check whether a request may have ended without a complete answer.

    :param told: the request.
    :param runs: its runs.
    :param signals: signals to all entries.
    :returns: whether it may.
    """
    lasted = told.ended_at - told.sent_at
    if lasted >= TIMEOUTS[told.kind] - DEADLINE_MARGIN:
        return True
    if not runs:
        return lasted <= CROSSING_SECONDS
    if max(runs, key=lambda run: run.began_at).is_broken:
        return True
    return any(
        is_end_of_grace(told, runs, one.at)
        for one in signals
        if one.entry == told.entry and one.name == 'SIGTERM'
    )


def is_end_of_grace(told: Told, runs: list[Run], stopped_at: float) -> bool:
    """Check whether the end of a stop's grace may have cut a request.

    :param told: the request.
    :param runs: its runs.
    :param stopped_at: time of a SIGTERM.
    :returns: whether a run went on in the last part of the grace.
    """
    last = stopped_at + GRACE_SECONDS * LAST_FRACTION
    is_cut_there = (
        told.sent_at <= stopped_at + TAKEN_SECONDS
        and told.ended_at >= last - DEADLINE_MARGIN
    )
    return is_cut_there and any(
        run.began_at < last < run.ended_at for run in runs
    )


def find_untrue_promises(record: SoakRecord) -> Iterator[str]:
    """Find requests that ran, and were told that they had not."""
    runs = group_runs(record)
    for told in record.told:
        if told.status in PROMISES and runs[told.request_id]:
            if told.kind in ONCE:
                yield f'REFUSED {describe(record, told)}'


def find_repeated_runs(record: SoakRecord) -> Iterator[str]:
    """Find requests that ran more than once and must not."""
    kinds = {told.request_id: told.kind for told in record.told}
    counts = Counter(run.request_id for run in record.runs)
    for request_id, count in counts.items():
        if count > 1 and kinds.get(request_id) in ONCE:
            yield f'TWICE {request_id} ran {count} times'


def find_unasked_ends(record: SoakRecord) -> Iterator[str]:
    """Find programs that ended by themselves, or were killed in a stop."""
    for ended in record.ends:
        if not ended.was_asked or ended.code:
            yield f'END {ended}'


def find_failed_tasks(record: SoakRecord) -> Iterator[str]:
    """Find tasks that failed, and lines that are no log lines."""
    for failure in record.failures:
        yield f'FAILED {failure[:300]}'


def group_runs(record: SoakRecord) -> defaultdict[str, list[Run]]:
    """Group the runs by request.

    :param record: what was seen.
    :returns: runs by request id.
    """
    runs: defaultdict[str, list[Run]] = defaultdict(list)
    for run in record.runs:
        runs[run.request_id].append(run)
    return runs


def describe(record: SoakRecord, told: Told) -> str:
    """Describe what is known of a request.

    :param record: what was seen.
    :param told: the request.
    :returns: times relative to its sending, its runs and its log line.
    """
    sent_at = told.sent_at
    runs = [
        f'{run.server} {run.began_at - sent_at:.2f}..'
        f'{run.ended_at - sent_at:.2f} {run.status}'
        for run in record.runs
        if run.request_id == told.request_id
    ]
    signals = [
        f'{one.name} {one.at - sent_at:.2f}'
        for one in record.signals
        if one.entry == told.entry and -9 < one.at - sent_at < 9
    ]
    line = record.lines.get(told.request_id, {})
    shown = {
        name: line.get(name)
        for name in ('attempts', 'verdict', 'detail', 'took_ms', 'connection')
    }
    return (
        f'{told.kind.name} {told.request_id} entry {told.entry} '
        f'status {told.status} {told.error} '
        f'after {told.ended_at - sent_at:.2f} s, runs {runs}, '
        f'signals {signals}, line {shown}'
    )
