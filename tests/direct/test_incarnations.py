"""Backends that restart under the same id."""

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
    state = registry.find('i-1')
    assert state is not None
    return state


#: The clock of the host may have been set back between the starts.
@pytest.mark.parametrize('started_ms', [2000, 500], ids=['later', 'clock-back'])
def test_a_restarted_backend_has_no_statistics(started_ms: int) -> None:
    """Statistics of the earlier process must not apply to a restarted one."""
    registry = BackendRegistry()
    registry.put(FIRST)
    earlier = find(registry)
    earlier.record_failure(50)
    earlier.in_flight = 6
    earlier.update_load(9, 12, 50)
    assert registry.put(FIRST._replace(revision=2, started_ms=started_ms))
    state = find(registry)
    assert state.failure_rate == 0
    assert state.count_load() == 0
    assert state.slowdown == 1
    # Attempts to the earlier process are not counted here.
    earlier.in_flight -= 1
    assert state.in_flight == 0


def test_a_renewed_registration_keeps_its_statistics() -> None:
    registry = BackendRegistry()
    registry.put(FIRST)
    state = find(registry)
    state.record_failure(50)
    assert not registry.put(FIRST._replace(revision=2))
    assert find(registry) is state


def test_a_restart_resets_draining_and_missing() -> None:
    registry = BackendRegistry()
    registry.put(FIRST._replace(is_draining=True))
    registry.mark_missing('i-1', 5, 10)
    registry.put(SECOND)
    assert registry.list_available('s') == [find(registry)]
    assert registry.remove_expired(20) == []


class Pool:
    """Records whose connections are closed."""

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


def test_connections_to_the_earlier_process_are_closed() -> None:
    """A request on a connection to the earlier process would be lost."""
    pool, lines = curio.run(apply_all, FIRST, SECOND)
    assert pool.forgotten == ['i-1']
    assert [line.revision for line in lines] == [1, 2]


def test_a_renewed_registration_keeps_its_connections() -> None:
    pool, _ = curio.run(apply_all, FIRST, FIRST._replace(revision=2))
    assert not pool.forgotten


def test_a_dead_backend_and_its_successor_count_once() -> None:
    """Slots of a dead backend and its successor must not be added up."""
    registry = BackendRegistry()
    registry.put(FIRST)
    registry.put(FIRST._replace(id='i-2'))
    assert registry.count_slots('s') == FIRST.slots


#: Time in seconds and value of reported entry counts, and the result.
COUNTED = (
    (((0, 1), (0, 3), (0.1, 2)), 3),
    (((0, 1),), 1),
    # A new coordinator that has heard of one entry only.
    (((0, 3), (60, 3), (60.2, 1)), 3),
    (((0, 3), (60, 3), (60.2, 1), (60.4, 4)), 4),
    (((0, 3), (60, 3), (62, 1)), 1),
)


@pytest.mark.parametrize(('reported', 'entries'), COUNTED)
def test_entries_are_not_undercounted_after_a_start(
    monkeypatch: pytest.MonkeyPatch,
    reported: tuple[tuple[float, int], ...],
    entries: int,
) -> None:
    """An early count is too small and would overfill the group."""
    lines = RecordingLog()
    context = EntryContext(SETTINGS, DIALECT, lines)  # type: ignore[arg-type]
    for seconds, count in reported:
        monkeypatch.setattr(time, 'monotonic', lambda now=seconds: now)
        context.record_entry_count(count)
    assert context.count_entries() == entries
