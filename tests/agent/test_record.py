"""Tests of single decisions of the execution record."""

from __future__ import annotations

import curio
import pytest

from ospreyford.agent.executiontable import SWEEP_BATCH_ENTRIES
from ospreyford.agent.record import Begun, Denied, ExecutionRecord, Known
from ospreyford.agent.settings import RecordSettings
from ospreyford.ports.fleet import LoadReport
from ospreyford.wire.frame import Fate, Refusal
from tests.agent.frames import INCARNATION, make_follow, make_start
from tests.fakes.clock import FakeClock

SETTINGS = RecordSettings(max_entries=3)


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def record(clock: FakeClock) -> ExecutionRecord:
    made = ExecutionRecord(SETTINGS, INCARNATION, clock)
    clock.advance(100)
    return made


def _ms(clock: FakeClock, offset: float = 0) -> int:
    return int((clock.wall() + offset) * 1000)


def test_sweep_yields_after_each_batch(clock: FakeClock) -> None:
    # Guards against a sweep that stalls all streams.
    entry_count = 2 * SWEEP_BATCH_ENTRIES
    record = ExecutionRecord(
        RecordSettings(max_entries=entry_count), INCARNATION, clock
    )
    for number in range(entry_count):
        record.table.add_tombstone(f'key-{number}', 'a1', moved=False)
    clock.advance(SETTINGS.tombstone_seconds + 2 * SETTINGS.skew_seconds + 1)
    left = []
    for _ in record.table.sweep_batches():
        left.append(len(record.table))
    assert left == [SWEEP_BATCH_ENTRIES, 0]


def test_a_full_record_is_not_swept_for_each_start(clock: FakeClock) -> None:
    # Guards against streams that stall while a full record refuses work.
    record = ExecutionRecord(SETTINGS, INCARNATION, clock)
    for number in range(SETTINGS.max_entries):
        record.table.add_tombstone(f'key-{number}', 'a1', moved=False)
    sweeps = 0
    clock.advance(1)
    for _ in range(3):
        clock.advance(0.1)
        before = record.table.last_swept_at
        assert not record.table.has_room()
        sweeps += record.table.last_swept_at != before
    assert sweeps == 1
    clock.advance(SETTINGS.tombstone_seconds + 2 * SETTINGS.skew_seconds + 1)
    assert record.table.has_room()


@pytest.mark.parametrize(
    ('dated', 'expires', 'fresh', 'reason'),
    [
        (0, -1, False, Refusal.expired),
        (3, 30, False, Refusal.key_from_future),
        (-601, 30, False, Refusal.key_expired),
        (-99, 30, False, Refusal.predates),
        (-99, 30, True, None),
        (-97, 30, False, None),
        (0, 30, False, None),
    ],
)
def test_key_date_decides(
    record: ExecutionRecord,
    clock: FakeClock,
    dated: float,
    expires: float,
    fresh: bool,
    reason: Refusal | None,
) -> None:
    start = make_start(
        'key',
        'a1',
        dated=_ms(clock, dated),
        expires=_ms(clock, expires),
        fresh=fresh,
    )
    decision = record.start(start)
    if reason is None:
        assert isinstance(decision, Begun)
    else:
        assert isinstance(decision, Denied)
        assert decision.reason is reason


def test_late_start_after_void_is_refused(
    record: ExecutionRecord, clock: FakeClock
) -> None:
    """A delayed start must not run after its caller was told "not run"."""
    times = {'dated': _ms(clock), 'expires': _ms(clock, 30)}
    verdict = record.follow(make_follow('key', 'a1', dated=_ms(clock)))
    assert verdict == Denied(Refusal.voided)
    late = record.start(make_start('key', 'a1', **times))
    assert late == Denied(Refusal.voided)
    again = record.start(make_start('key', 'a2', **times))
    assert isinstance(again, Begun)


def test_late_question_after_end_is_not_voided(
    record: ExecutionRecord, clock: FakeClock
) -> None:
    """A late follow must not get "not run" after the answer was dropped."""
    dated = _ms(clock)
    start = make_start(
        'id',
        'a1',
        dated=dated,
        expires=_ms(clock, 30),
        idempotent=True,
        fresh=True,
    )
    begun = record.start(start)
    assert isinstance(begun, Begun)
    load = LoadReport(incarnation=INCARNATION)
    curio.run(begun.execution.finish(load, clock.monotonic()))
    for _ in range(30):
        clock.advance(10)
        record.table.sweep()
        asked = make_follow('id', 'a1', dated=dated, fresh=True)
        verdict = record.follow(asked)
        assert verdict != Denied(Refusal.voided)


def test_ended_key_is_known_during_its_retention(
    record: ExecutionRecord, clock: FakeClock
) -> None:
    """A retry within the key's retention must not run it again."""
    start = make_start('key', 'a0', dated=_ms(clock), expires=_ms(clock, 30))
    begun = record.start(start)
    assert isinstance(begun, Begun)
    load = LoadReport(incarnation=INCARNATION)
    curio.run(begun.execution.finish(load, clock.monotonic()))
    for number in range(90):
        clock.advance(10)
        record.table.sweep()
        retry = make_start(
            'key',
            f'retry{number}',
            dated=start.dated,
            expires=_ms(clock, 30),
        )
        assert not isinstance(record.start(retry), Begun)


def test_full_record_refuses_and_does_not_forget(
    record: ExecutionRecord, clock: FakeClock
) -> None:
    """A full record must not evict a live key, whose retry would run twice."""
    times = {'dated': _ms(clock), 'expires': _ms(clock, 30)}
    for number in range(SETTINGS.max_entries):
        record.start(make_start(f'key{number}', 'a1', **times))
    full = record.start(make_start('one-more', 'a1', **times))
    assert isinstance(full, Denied)
    assert full.reason is Refusal.record_full
    retry = record.start(make_start('key0', 'a2', **times))
    assert isinstance(retry, Known)


@pytest.mark.parametrize(
    ('follow', 'reason'),
    [
        ({'incarnation': 'agent-0'}, Refusal.wrong_incarnation),
        ({'moved': True}, Refusal.moved),
        ({'sent': False}, Refusal.voided),
        ({}, Refusal.voided),
    ],
)
def test_question_about_an_unknown_id(
    record: ExecutionRecord,
    clock: FakeClock,
    follow: dict[str, object],
    reason: Refusal,
) -> None:
    question = make_follow('key', 'a1', dated=_ms(clock), **follow)
    assert record.follow(question) == Denied(reason)


def test_restarted_agent_does_not_void_earlier_runs(
    clock: FakeClock,
) -> None:
    """A follow must not get "not run" for a key of an earlier incarnation."""
    dated = _ms(clock)
    clock.advance(1)
    record = ExecutionRecord(SETTINGS, INCARNATION, clock)
    verdict = record.follow(make_follow('key', 'a2', dated=dated))
    assert verdict == Denied(Refusal.predates)


def test_follow_of_an_unsent_request_adds_no_tombstone(
    record: ExecutionRecord, clock: FakeClock
) -> None:
    record.follow(make_follow('key', 'a1', dated=_ms(clock), sent=False))
    assert len(record.table) == 0


def test_key_refused_while_draining_stays_refused(
    record: ExecutionRecord, clock: FakeClock
) -> None:
    """A key refused by a draining agent must not run there later.

    Guards against a second run after the drain is cancelled.
    """
    times = {'dated': _ms(clock), 'expires': _ms(clock, 30)}
    record.draining = True
    first = record.start(make_start('key', 'a1', **times))
    assert isinstance(first, Denied)
    assert first.reason is Refusal.draining
    record.draining = False
    retry = record.start(make_start('key', 'a2', **times))
    assert retry == Denied(Refusal.moved)


def test_key_of_another_request_is_refused(
    record: ExecutionRecord, clock: FakeClock
) -> None:
    times = {'dated': _ms(clock), 'expires': _ms(clock, 30)}
    record.start(make_start('key', 'a1', **times))
    other = record.start(make_start('key', 'a2', fingerprint=2, **times))
    assert other == Denied(Refusal.key_reused)


def test_proved_not_run_may_run_again(
    record: ExecutionRecord, clock: FakeClock
) -> None:
    times = {'dated': _ms(clock), 'expires': _ms(clock, 30)}
    begun = record.start(make_start('key', 'a1', **times))
    assert isinstance(begun, Begun)
    curio.run(begun.execution.fail(Fate.not_run, clock.monotonic()))
    copy = record.start(make_start('key', 'a1', **times))
    assert copy == Denied(Refusal.voided)
    retry = record.start(make_start('key', 'a2', **times))
    assert isinstance(retry, Begun)


def test_answer_still_read_holds_a_planned_stop_up(
    record: ExecutionRecord, clock: FakeClock
) -> None:
    # Guards against a shutdown that truncates the answer of an ended run.
    dated, expires = _ms(clock), _ms(clock, 30)
    begun = record.start(make_start('key', 'a1', dated=dated, expires=expires))
    assert isinstance(begun, Begun)
    begun.execution.add_follower()
    load = LoadReport(incarnation=INCARNATION)
    curio.run(begun.execution.finish, load, clock.monotonic())
    assert record.table.list_running() == []
    assert record.table.list_unfinished() == [begun.execution]
    begun.execution.remove_follower(clock.monotonic())
    assert record.table.list_unfinished() == []
