"""Backend selection, retry budget, event splitting and state freshness."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.direct import freshness
from ospreyford.direct.budget import RetryBudget
from ospreyford.direct.catalog import Split
from ospreyford.direct.events import EventSplitter
from ospreyford.direct.freshness import StateFreshness
from ospreyford.direct.registry import BackendRegistry, BackendServer
from ospreyford.direct.selection import (
    SelectionCriteria,
    select_backend,
    select_service,
)
from ospreyford.direct.settings import Bounds, RetrySettings
from ospreyford.http.buffers import BufferPool


def make_server(name: str, zone: str = 'a', **other: bool) -> BackendServer:
    draining = other.get('draining', False)
    return BackendServer(name, 's', '127.0.0.1', 1, zone, 6, draining, 1)


def make_registry(*servers: BackendServer) -> BackendRegistry:
    registry = BackendRegistry()
    for server in servers:
        registry.put(server)
    return registry


def choose(registry: BackendRegistry, *avoided: str) -> str:
    criteria = SelectionCriteria('a', avoided, 100)
    state = select_backend(registry.list_available('s'), criteria, Random(1))
    assert state is not None
    return state.server.id


def test_the_least_loaded_backend_is_selected() -> None:
    registry = make_registry(make_server('x'), make_server('y'))
    state = registry.find('x')
    assert state is not None
    state.in_flight = 1
    assert choose(registry) == 'y'
    state.in_flight = 0
    other = registry.find('y')
    assert other is not None
    other.remote_in_flight = 2
    assert choose(registry) == 'x'


def test_ties_are_resolved_within_the_zone() -> None:
    registry = make_registry(make_server('far', 'b'), make_server('near', 'a'))
    assert choose(registry) == 'near'


def test_a_draining_backend_gets_no_requests() -> None:
    registry = make_registry(make_server('x', draining=True), make_server('y'))
    assert choose(registry) == 'y'


def test_a_backend_with_an_unreachable_agent_is_avoided() -> None:
    """A frozen host must not look like the least loaded one."""
    registry = make_registry(make_server('frozen'), make_server('busy'))
    frozen = registry.find('frozen')
    busy = registry.find('busy')
    assert frozen is not None
    assert busy is not None
    busy.remote_in_flight = 6
    assert choose(registry) == 'frozen'
    frozen.is_agent_unreachable = True
    assert choose(registry) == 'busy'
    # If all agents are unreachable, all backends weigh the same.
    busy.is_agent_unreachable = True
    assert choose(registry) == 'frozen'


def test_a_failing_backend_is_avoided_and_retried() -> None:
    """A backend that fails fast must not look like the least loaded one."""
    registry = make_registry(make_server('bad'), make_server('good'))
    bad = registry.find('bad')
    good = registry.find('good')
    assert bad is not None
    assert good is not None
    for _ in range(5):
        bad.record_failure(99)
    good.in_flight = 5
    assert choose(registry) == 'good'
    bad.failed_at = 90
    assert choose(registry) == 'bad'


def test_a_retry_prefers_another_backend() -> None:
    registry = make_registry(make_server('x'), make_server('y'))
    assert choose(registry, 'x') == 'y'
    assert choose(make_registry(make_server('x')), 'x') == 'x'


def test_services_are_selected_by_weight() -> None:
    random = Random(3)
    splits = (Split('a', 90), Split('b', 10))
    drawn = [select_service(splits, random) for _ in range(2000)]
    assert 100 < drawn.count('b') < 300
    assert select_service((), random) is None


def test_entries_share_the_retry_budget() -> None:
    """All entries together must keep to the shared budget."""
    entries = [
        RetryBudget(RetrySettings(ratio=0.2, slack=90, window=10), -60)
        for _ in range(4)
    ]
    retries = 0
    for entry in entries:
        entry.record_entry_count(4, -1.5)
        for number in range(1000):
            entry.record_entry_count(4, number / 100)
            entry.record_request('s', number / 100)
            retries += entry.spend('s', number / 100)
    assert 400 < retries <= 0.2 * 4000 + 90


def test_entries_without_agents_keep_the_retry_budget() -> None:
    """Entries that never heard of each other must not take a full share."""
    retries = 0
    for _ in range(35):
        entry = RetryBudget(RetrySettings(ratio=0, slack=90, window=10), -60)
        retries += sum(entry.spend('s', 1) for _ in range(90))
    assert 0 < retries <= 90


def test_the_retry_budget_is_replenished() -> None:
    budget = RetryBudget(RetrySettings(ratio=0, slack=10, window=10), -60)
    for second in range(-1, 12):
        budget.record_entry_count(1, second)
    spent = [budget.spend('s', 1) for _ in range(20)]
    assert sum(spent) == 8
    assert budget.spend('s', 11.5)


def make_event(number: int) -> bytes:
    return b'id: %d\ndata: x%d\n\n' % (number, number)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 40), max_size=20))
def test_events_are_reassembled_from_any_chunks(sizes: list[int]) -> None:
    stream = b''.join(map(make_event, range(9)))
    splitter = EventSplitter(BufferPool())
    events = []
    rest = b'%bid: 9\nda' % stream
    for size in (*sizes, len(rest)):
        events += splitter.add(rest[:size])
        rest = rest[size:]
    ids = [event.id for event in events]
    encoded = [event.encoded for event in events]
    assert ids == list(range(9))
    assert b''.join(encoded) == stream
    assert splitter.has_rest()


#: Revocation limit and state age in seconds, and whether keys are served.
AGES = (
    (5, 1, True),
    (5, 4, True),
    (5, 4.5, False),
    (None, 99, True),
)


@pytest.mark.parametrize(
    ('revoke', 'age', 'good'),
    AGES,
)
def test_stale_state_serves_no_key(
    monkeypatch: pytest.MonkeyPatch,
    revoke: float | None,
    age: float,
    *,
    good: bool,
) -> None:
    """A revoked key must not be served by an entry cut off from the store."""
    state = StateFreshness(Bounds(2, 8, revoke))
    monkeypatch.setattr(freshness, 'read_boot_clock', lambda: 100.0)
    assert not state.may_serve_keys()
    state.confirm(100 - age)
    state.confirm(50 - age)
    assert state.may_serve_keys() is good


def test_a_slow_rank_is_avoided_while_others_have_slots() -> None:
    registry = make_registry(make_server('slow'), make_server('normal'))
    slow = registry.find('slow')
    normal = registry.find('normal')
    assert slow is not None
    assert normal is not None
    slow.slowdown = 12
    normal.in_flight = 6
    assert choose(registry) == 'normal'
