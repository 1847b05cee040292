"""Backends that start again under the id that they had."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import curio
import pytest

from ospreyford.direct.context import EntryContext
from ospreyford.direct.decisions import BackendChanged
from ospreyford.direct.registry import BackendRegistry, BackendServer
from ospreyford.direct.updates import StateUpdater
from tests.direct.backends import DIALECT, SETTINGS, RecordingLog

if TYPE_CHECKING:
    from ospreyford.direct.registry import BackendState

FIRST = BackendServer('i-1', 's', '127.0.0.1', 9000, 'a', 6, False, 1, 1000)
SECOND = FIRST._replace(revision=2, started_ms=2000)


def find(registry: BackendRegistry) -> BackendState:
    member = registry.find('i-1')
    assert member is not None
    return member


#: The clock of its host may have gone back between the two starts.
@pytest.mark.parametrize('started_ms', [2000, 500], ids=['later', 'clock-back'])
def test_a_restarted_back_end_has_no_past(started_ms: int) -> None:
    """A backend that had restarted got no requests for seconds.

    Sequence: it fails and hangs, its process starts again under the same id.
    Cause: failure rate, pace and requests in flight were kept by id, and those
    of the earlier process never ended.
    """
    registry = BackendRegistry()
    registry.put(FIRST)
    earlier = find(registry)
    earlier.record_failure(50)
    earlier.in_flight = 6
    earlier.update_load(9, 12, 50)
    assert registry.put(FIRST._replace(revision=2, started_ms=started_ms))
    member = find(registry)
    assert member.failure_rate == 0
    assert member.count_load() == 0
    assert member.slowdown == 1
    # A sending to the earlier process that ends now is not counted here.
    earlier.in_flight -= 1
    assert member.in_flight == 0


def test_a_renewed_registration_keeps_its_past() -> None:
    registry = BackendRegistry()
    registry.put(FIRST)
    member = find(registry)
    member.record_failure(50)
    assert not registry.put(FIRST._replace(revision=2))
    assert find(registry) is member


def test_a_start_ends_a_drain_and_an_absence() -> None:
    registry = BackendRegistry()
    registry.put(FIRST._replace(is_draining=True))
    registry.mark_missing('i-1', 10)
    registry.put(SECOND)
    assert registry.list_available('s') == [find(registry)]
    assert registry.remove_expired(20) == []


class Pool:
    """Notes whose connections are closed."""

    def __init__(self) -> None:
        self.opened = 0
        self.forgotten: list[str] = []

    async def close_backend(self, server_id: str) -> None:
        self.forgotten.append(server_id)


async def apply_all(*servers: BackendServer) -> tuple[Pool, list[Any]]:
    lines = RecordingLog()
    context = EntryContext(SETTINGS, DIALECT, lines)  # type: ignore[arg-type]
    pool = Pool()
    context.pool = pool  # type: ignore[assignment]
    changes = StateUpdater(context)
    for server in servers:
        await changes.apply_registration(server)
    return pool, lines.find(BackendChanged)


def test_connections_to_an_earlier_start_are_closed() -> None:
    """A request that may run once only ended without an answer.

    Sequence: a backend starts again at its address; a kept connection still
    looks open. Cause: connections were kept by id, and the id had not changed.
    """
    pool, lines = curio.run(apply_all, FIRST, SECOND)
    assert pool.forgotten == ['i-1']
    assert [line.revision for line in lines] == [1, 2]


def test_a_renewed_registration_keeps_its_connections() -> None:
    pool, _ = curio.run(apply_all, FIRST, FIRST._replace(revision=2))
    assert not pool.forgotten


def test_one_that_died_and_its_successor_count_once() -> None:
    """An entry let twice the streams in that a group runs at once.

    Sequence: all backends die and start again at their addresses under new
    ids; the dead ones stay registered for three heartbeats. Cause: the slots
    of both were added up.
    """
    registry = BackendRegistry()
    registry.put(FIRST)
    registry.put(FIRST._replace(id='i-2'))
    assert registry.count_slots('s') == FIRST.slots


#: When agents tell how many entries there are, in seconds, and what counts.
COUNTED = (
    (((0, 1), (0, 3), (0.1, 2)), 3),
    (((0, 1),), 1),
    # Another agent has begun to coordinate, and hears of one entry at first.
    (((0, 3), (60, 3), (60.2, 1)), 3),
    (((0, 3), (60, 3), (60.2, 1), (60.4, 4)), 4),
    (((0, 3), (60, 3), (62, 1)), 1),
)


@pytest.mark.parametrize(('reported', 'entries'), COUNTED)
def test_entries_are_not_undercounted_at_a_start(
    monkeypatch: pytest.MonkeyPatch,
    reported: tuple[tuple[float, int], ...],
    entries: int,
) -> None:
    """Three entries each took the whole room of a group that had just opened.

    Sequence: all hosts are back; the first answers of agents come from some
    that have heard of one entry only. Cause: the count was used at once.
    """
    lines = RecordingLog()
    context = EntryContext(SETTINGS, DIALECT, lines)  # type: ignore[arg-type]
    for seconds, count in reported:
        monkeypatch.setattr(time, 'monotonic', lambda now=seconds: now)
        context.record_entry_count(count)
    assert context.budget.entries == entries
