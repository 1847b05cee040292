"""A few drawn days with real processes; more are played by hand."""

from __future__ import annotations

from pathlib import Path

import curio
import pytest

from ospreyford.platform.standins.enginegroup import Verdict
from ospreyford.platform.standins.orders import SeenOrder
from ospreyford.platform.standins.replicas import Arrival
from tests.platform.drills.day import Day, Size
from tests.platform.drills.judge import judge
from tests.platform.drills.plan import draw_groups, draw_plan
from tests.platform.drills.record import Record, Seen, Told
from tests.platform.fleet import DRAIN_SECONDS, STABLE_SECONDS
from tests.platform.groupchecks import TakenTerm

#: Kept short; each day takes some 22 s.
SEEDS = (0, 1)


@pytest.mark.parametrize('seed', SEEDS)
def test_day_keeps_every_promise(seed: int, tmp_path: Path) -> None:
    """Drills of the store and crashing requests, beside other faults."""
    record = curio.run(Day(seed, Size(), tmp_path).play)
    assert judge(record) == []


def test_a_seed_draws_the_same_plan() -> None:
    assert draw_plan(7, 4, 5) == draw_plan(7, 4, 5)
    assert draw_plan(7, 4, 5) != draw_plan(8, 4, 5)


def test_groups_are_drawn_apart_from_events() -> None:
    drawn = [draw_groups(seed) for seed in range(60)]
    assert {len(sizes) for sizes in drawn} == {1, 2, 3}
    assert any(len(draw_groups(seed)) > 1 for seed in SEEDS)


def make_record() -> Record:
    """Make a record of a day that kept every promise."""
    record = Record(calm_at=50)
    record.told.append(Told(51, '0.k0.1', b'own', 200, b''))
    record.seen.append(Seen(1, 0, 1, 'Started', ''))
    record.seen.append(Seen(1, 0, 1, 'CatalogInForce', '3'))
    return record


def arrive(record: Record, request_id: str, at: float, body: bytes) -> None:
    arrival = Arrival('i-1', request_id, body, at)
    record.arrivals.requests.append(arrival)
    record.arrivals.runs.append(arrival)
    if b'crash' in body:
        record.arrivals.crashes.append(arrival)


def use_a_draining_replica(record: Record) -> None:
    record.seen.append(Seen(10, 0, 1, 'BackendChanged', 'i-1', 'draining'))
    arrive(record, '0.k0.2', 10.2 + DRAIN_SECONDS, b'own')


def forget_a_draining_replica(record: Record) -> None:
    record.seen.append(Seen(10, 0, 1, 'BackendChanged', 'i-1', 'draining'))
    record.seen.append(Seen(10.5, 0, 2, 'Started', ''))
    arrive(record, '0.k0.2', 10.6 + STABLE_SECONDS, b'own')


def use_a_withdrawn_key(record: Record) -> None:
    record.withdrawn['k1'] = 10
    arrive(record, '0.k1.2', 15.1, b'own')


def go_back(record: Record) -> None:
    record.seen.append(Seen(2, 0, 1, 'CatalogInForce', '2'))


def crash_over_and_over(record: Record) -> None:
    for number in range(8):
        arrive(record, '0.k0.2', 10 + number * STABLE_SECONDS, b'crash')


def block_an_innocent(record: Record) -> None:
    for at in (10, 13.1):
        cause = b'crashes the back ends that run it'
        record.told.append(Told(at, '0.k0.2', b'own', 502, cause))


def refuse_what_ran(record: Record) -> None:
    arrive(record, '0.k0.2', 10, b'own')
    record.told.append(Told(10, '0.k0.2', b'own', 503, b''))


def fail_for_good(record: Record) -> None:
    record.told.append(Told(51, '0.k0.2', b'own', 503, b''))


def order(record: Record, group: str, verdict: Verdict) -> None:
    seen = SeenOrder(20, '127.0.0.1', group, 0, 1024, 'Arm', verdict)
    record.groups.orders.append(seen)


def order_two_groups(record: Record) -> None:
    record.terms.append(TakenTerm(10, '127.0.0.1', 'g0', 1024))
    order(record, 'g0', Verdict.accepted)
    order(record, 'g1', Verdict.accepted)


def fence_without_cause(record: Record) -> None:
    # Of another group, and too long ago.
    record.groups.closings.extend((('g1', 19), ('g0', 14)))
    order(record, 'g0', Verdict.fenced)


def mix_maps(record: Record) -> None:
    record.groups.mixed_passes.append(('g0', 7))


DOCTORS = (
    use_a_draining_replica,
    forget_a_draining_replica,
    use_a_withdrawn_key,
    go_back,
    crash_over_and_over,
    block_an_innocent,
    refuse_what_ran,
    fail_for_good,
    order_two_groups,
    fence_without_cause,
    mix_maps,
)


def test_a_sound_record_has_no_finding() -> None:
    assert judge(make_record()) == []


@pytest.mark.parametrize('doctor', DOCTORS)
def test_each_check_finds_its_fault(doctor: object) -> None:
    """A check that never fails proves nothing."""
    record = make_record()
    assert callable(doctor)
    doctor(record)
    assert len(judge(record)) == 1
