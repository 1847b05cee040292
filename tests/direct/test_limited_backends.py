"""Requests while backends declare how many they take."""

from __future__ import annotations

import time
from random import Random
from typing import Any

import curio
import pytest

from ospreyford.direct.backendlimits import OVERDUE_SECONDS, BackendLimits
from ospreyford.direct.backendselector import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
)
from ospreyford.direct.catalog import Engine, RetryMode, Route, Service
from ospreyford.direct.decisions import RequestEnded
from ospreyford.direct.entryshare import ShareTracker
from ospreyford.direct.registry import BackendServer, BackendState
from ospreyford.direct.requestslots import MIN_RATE
from ospreyford.direct.selection import SelectionCriteria
from ospreyford.direct.slotselection import (
    NoSlot,
    SendLater,
    SendNow,
    SlotSelector,
)
from ospreyford.direct.verdicts import Cause
from ospreyford.http.message import Headers, Response
from ospreyford.http.server import Exchange
from tests.direct import backends as be

ROUTE = be.make_route(RetryMode.idempotent, timeout=8.0)
STREAMS = be.make_route(
    RetryMode.resumable, streams=True, timeout=8.0, max_gap=0.12
)
ENGINE = Engine(6, 4, 72, 8, 3, 0.01, 0.02)
LONG: Headers = ((b'x-deadline', b'8000'),)
NOW = 1000.0
HANG_SECONDS = 10.0


def make_backend(name: str) -> BackendState:
    return BackendState(
        BackendServer(name, 's', '10.0.0.1', 80, 'a', 6, False, 1)
    )


class Selection:
    """Three backends and an entry that is alone."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = NOW
        monkeypatch.setattr(time, 'monotonic', lambda: self.now)
        monkeypatch.setattr(time, 'time', lambda: self.now)
        log: Any = be.RecordingLog()
        self.limits = BackendLimits(b'x-limit', 'entry', log)
        self.limits.shares.record_count(1, NOW)
        self.limits.shares.record_position(0, 1)
        self.backends = [make_backend(name) for name in 'abc']
        self.now += 60

    def declare(self, rates: str) -> None:
        """Declare a rate for each backend; ``-`` for none."""
        each = zip(self.backends, rates.split(), strict=True)
        for backend, text in each:
            fields = () if text == '-' else ((b'x-limit', text.encode()),)
            self.limits.record_response(backend.server, fields, self.now)
            self.limits.take_slot(backend.server, self.now)

    def select(self, tried: str = '') -> Any:
        criteria = SelectionCriteria('a', set(tried), self.now)
        selector = SlotSelector(self.limits, Random(1))
        selection = selector.select(self.backends, criteria, 8)
        if isinstance(selection, SendNow | SendLater):
            return type(selection), selection.backend.server.id
        return type(selection), None


#: Rates that a, b and c declare after a request to each, backends that the
#: request was sent to, and what is selected.
SELECTIONS = (
    ('0 - 0', '', (SendNow, 'b')),
    ('0 0 -', 'b', (SendNow, 'c')),
    # Another backend that takes it soon goes before one that has failed.
    ('0 - 2', 'b', (SendLater, 'c')),
    ('0 - 0', 'b', (SendNow, 'b')),
    ('0 2 0', '', (SendLater, 'b')),
    ('1.6 2 1', '', (SendLater, 'b')),
    ('0 0 0', '', (NoSlot, None)),
    ('0.5 0.5 0.5', 'a', (NoSlot, None)),
)


@pytest.mark.parametrize(('rates', 'tried', 'selected'), SELECTIONS)
def test_requests_go_where_they_are_taken(
    monkeypatch: pytest.MonkeyPatch, rates: str, tried: str, selected: Any
) -> None:
    """Backends in need must not make their callers worse off than others."""
    selection = Selection(monkeypatch)
    selection.declare(rates)
    assert selection.select(tried) == selected


@pytest.mark.parametrize('has_failed', [False, True])
def test_backend_whose_need_may_have_ended_goes_first(
    monkeypatch: pytest.MonkeyPatch, has_failed: bool
) -> None:
    """Only a request shows that a backend no longer declares a limit."""
    selection = Selection(monkeypatch)
    selection.declare('- - 100')
    selection.now += OVERDUE_SECONDS + 1
    limited = selection.backends[2]
    if has_failed:
        limited.record_failure(selection.now)
    chosen = set()
    for _ in range(8):
        selection.now += 0.0013
        chosen.add(selection.select())
    assert ((SendNow, 'c') in chosen) is not has_failed
    selection.limits.record_response(limited.server, (), selection.now)
    assert not selection.limits.is_overdue(limited, selection.now)


def limit(rate: bytes, script: be.Script = be.answer) -> be.Script:
    """Declare a rate in the responses of a script."""

    async def run(exchange: Exchange) -> None:
        make_head = exchange.make_head

        def make_limited_head(status: int, headers: Headers) -> Any:
            return make_head(status, (*headers, (b'x-limit', rate)))

        exchange.make_head = make_limited_head  # type: ignore[method-assign]
        await script(exchange)

    return run


async def open_site(*scripts: be.Script, route: Route = ROUTE) -> be.Site:
    """Open an entry that knows that it is alone."""
    site = await be.open_site(route, *scripts)
    if route is STREAMS:
        assert site.context.catalog is not None
        site.context.catalog.services['service'] = Service(  # type: ignore[index]
            'service', 10, ENGINE
        )
    site.context.limits.shares = ShareTracker('entry', 0)
    site.context.record_entry_count(1)
    site.context.limits.shares.record_position(0, 1)
    return site


async def ask_often(site: be.Site, count: int) -> list[int]:
    return [(await site.ask(headers=LONG))[0].status for _ in range(count)]


def take_slot(site: be.Site) -> None:
    state = site.context.backends.find('b0')
    assert state is not None
    site.context.limits.take_slot(state.server, time.monotonic())


def count_excess(site: be.Site, started_at: float) -> float:
    """Count the requests of the first backend beyond what it may see.

    It may see one before it has declared a rate of 0, one in an open slot, and
    one in each cycle.
    """
    cycles = (time.monotonic() - started_at) * MIN_RATE
    return site.count_runs()[0] - 2 - cycles


async def press(*scripts: be.Script) -> tuple[list[int], float]:
    started_at = time.monotonic()
    site = await open_site(*scripts)
    statuses = await ask_often(site, 30)
    return statuses, count_excess(site, started_at)


#: Backend scripts and statuses of 30 requests.
PRESSES = (
    ((limit(b'0'), be.answer), {200}),
    ((limit(b'0', be.refuse), be.answer), {200}),
    ((limit(b'0', be.fail), be.answer), {200}),
    ((limit(b'0'),), {200, 503}),
)


@pytest.mark.parametrize(('scripts', 'statuses'), PRESSES)
def test_limited_backends_are_left_alone(
    scripts: tuple[be.Script, ...], statuses: set[int]
) -> None:
    """Answers, failures and refusals all tell of a limit."""
    seen, excess = curio.run(press, *scripts)
    assert set(seen) == statuses
    assert excess <= 0


@pytest.mark.parametrize('rate', [b'nan', b'50'])
def test_limits_above_the_load_do_not_matter(rate: bytes) -> None:
    seen, _ = curio.run(press, limit(rate))
    assert set(seen) == {200}


async def press_on_ranks(*scripts: be.Script) -> tuple[set[int], float]:
    started_at = time.monotonic()
    site = await open_site(*scripts, route=STREAMS)
    statuses = set()
    for _ in range(30):
        head, body = await site.ask(headers=LONG)
        statuses.add(head.status)
        assert head.status != 200 or body.endswith(be.make_event(3))
    assert site.context.gates
    return statuses, count_excess(site, started_at)


IN_NEED = limit(b'0', be.stream(3))
BREAKING = be.stream(3, breaks_after=2)
#: Scripts of the ranks, and statuses of 30 streams.
GROUPS = (
    ((IN_NEED, be.stream(3)), {200}),
    ((limit(b'0', be.refuse), be.stream(3)), {200}),
    ((IN_NEED,), {200, 503}),
    # A stream that breaks off goes on at the third rank.
    ((IN_NEED, BREAKING, be.stream(3)), {200}),
)


@pytest.mark.parametrize(('scripts', 'statuses'), GROUPS)
def test_limited_ranks_are_left_alone(
    scripts: tuple[be.Script, ...], statuses: set[int]
) -> None:
    """Admission to the group and resumed streams must not pass a limit."""
    seen, excess = curio.run(press_on_ranks, *scripts)
    assert seen == statuses
    assert excess <= 0


async def exceed() -> tuple[dict[bytes, bytes], be.Site]:
    site = await open_site(limit(b'0'))
    await ask_often(site, 1)
    take_slot(site)
    head, _ = await site.ask(headers=LONG)
    assert head.status == 503
    return dict(head.headers), site


def test_excess_is_rejected_at_once_with_a_retry_time() -> None:
    """Waiting for a slot that comes too late would only move the excess."""
    fields, site = curio.run(exceed)
    retry_after = float(fields[b'retry-after'])
    assert MIN_RETRY_AFTER_SECONDS <= retry_after <= MAX_RETRY_AFTER_SECONDS
    ended = site.log.find(RequestEnded)[-1]
    assert ended.detail['cause'] == Cause.limited
    assert not ended.attempts


def withdraw_key(site: be.Site) -> None:
    assert site.context.catalog is not None
    site.context.catalog = site.context.catalog._replace(
        version=2, customers={}
    )


def drain_backend(site: be.Site) -> None:
    state = site.context.backends.find('b0')
    assert state is not None
    site.context.backends.put(state.server._replace(is_draining=True))


def remove_backend(site: be.Site) -> None:
    site.context.backends.remove('b0')


def declare(site: be.Site, status: int, fields: Headers) -> None:
    state = site.context.backends.find('b0')
    assert state is not None
    site.context.declarations.record_response(
        state.server, Response(status, ((b'x-limit', b'1.6667'), *fields)), 0
    )


def back_off(site: be.Site) -> None:
    declare(site, 503, ((b'retry-after', b'60'),))


def leave(site: be.Site) -> None:
    declare(site, 200, ((b'x-leaving', b'1'),))


def change_nothing(site: be.Site) -> None:
    assert site.context.catalog is not None


class SlotWatch:
    """Counts the slots that an entry takes."""

    def __init__(self, limits: BackendLimits) -> None:
        self.taken = 0
        self._take_slot = limits.take_slot
        limits.take_slot = self._count  # type: ignore[method-assign]

    def _count(self, server: BackendServer, at: float) -> float | None:
        self.taken += 1
        return self._take_slot(server, at)


async def change_while_waiting(change: Any) -> tuple[int, list[int]]:
    # The next slot is 0.45 to 0.9 s after the last one.
    site = await open_site(limit(b'1.6667'))
    await ask_often(site, 1)
    take_slot(site)
    watch = SlotWatch(site.context.limits)
    asking = await curio.spawn(site.ask, 'POST', LONG)
    async with curio.timeout_after(HANG_SECONDS):
        while not watch.taken:
            await curio.sleep(0.005)
    change(site)
    head, _ = await asking.join()
    return head.status, site.count_runs()


#: What changes while a request waits for a slot, its status, and the requests
#: that the backend has seen then.
CHANGES = (
    (change_nothing, 200, [2]),
    (withdraw_key, 503, [1]),
    (drain_backend, 503, [1]),
    (remove_backend, 503, [1]),
    (back_off, 503, [1]),
    (leave, 503, [1]),
)


@pytest.mark.parametrize(('change', 'status', 'runs'), CHANGES)
def test_request_is_checked_again_after_waiting(
    change: Any, status: int, runs: list[int]
) -> None:
    """A key or a backend may be withdrawn while a request waits."""
    assert curio.run(change_while_waiting, change) == (status, runs)
