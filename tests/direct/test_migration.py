"""Migration of streams away from a slow backend."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from ospreyford.direct.catalog import RetryMode, Route
from ospreyford.direct.decisions import RequestEnded, StreamMoved
from ospreyford.direct.registry import BackendServer, BackendState
from ospreyford.direct.selection import MIGRATION_FACTOR, find_migration_target
from ospreyford.direct.settings import RetrySettings
from tests.direct import backends as be

RESUMABLE = be.make_route(RetryMode.resumable, streams=True)
STREAM = be.make_route(RetryMode.once, streams=True)
SINGLE = be.make_route(RetryMode.resumable, streams=True, attempts=1)
WHOLE = b''.join(map(be.make_event, range(1, 6)))
NO_RETRIES = RetrySettings(ratio=0, slack=0, window=10)


async def ask_slow(
    route: Route, retries: RetrySettings = be.SETTINGS.retries
) -> tuple[bytes, be.Site]:
    """Start a stream on a backend that turns slow after the second event."""
    site: be.Site

    async def turn_slow(exchange: Any) -> None:
        await exchange.start(200, be.sign(exchange))
        for number in range(1, 6):
            if number == 3:
                slow = site.context.backends.find(site.backends[0].name)
                assert slow is not None
                slow.update_load(1, 12, 0)
            await exchange.write(be.make_event(number))
            await curio.sleep(0.02)
        await exchange.finish()

    site = await be.open_site(route, turn_slow, be.stream(5))
    site.context.budget.settings = retries
    other = site.context.backends.find(site.backends[1].name)
    assert other is not None
    other.remote_in_flight = 1
    _, body = await site.ask()
    return body, site


def test_a_stream_migrates_from_a_slow_rank() -> None:
    """Streams left on a slow rank delay every pass of the group."""
    body, site = curio.run(ask_slow, RESUMABLE)
    assert body == WHOLE
    assert site.count_runs() == [1, 1]
    resumed = site.backends[1].seen[0].headers
    assert be.read_field(resumed, be.DIALECT.last_event) == b'3'
    moved = site.log.find(StreamMoved)
    assert [(one.pace, one.event) for one in moved] == [(12, 3)]
    ended = site.log.find(RequestEnded)[0]
    assert [one.split()[2] for one in ended.attempts] == ['Moved', 'Streaming']


@pytest.mark.parametrize(
    ('route', 'retries'),
    [
        # The request may run only once.
        (STREAM, be.SETTINGS.retries),
        # The route allows one backend only.
        (SINGLE, be.SETTINGS.retries),
        # The retry budget is used up.
        (RESUMABLE, NO_RETRIES),
    ],
)
def test_a_stream_that_must_not_migrate_stays(
    route: Route, retries: RetrySettings
) -> None:
    body, site = curio.run(ask_slow, route, retries)
    assert body == WHOLE
    assert site.count_runs() == [1, 0]
    assert not site.log.find(StreamMoved)


def make_backend(pace: float, requests: int = 0) -> BackendState:
    state = BackendState(BackendServer('b', 's', 'h', 1, 'a', 6, False, 1))
    state.update_load(requests, pace, 0)
    return state


@pytest.mark.parametrize(
    ('pace', 'others', 'moves'),
    [
        (MIGRATION_FACTOR, [make_backend(1)], True),
        (MIGRATION_FACTOR - 0.1, [make_backend(1)], False),
        (12, [], False),
        (12, [make_backend(12), make_backend(1.6)], False),
        # No free slots: the stream would be queued.
        (12, [make_backend(1, requests=6)], False),
        (12, [make_backend(1, requests=6), make_backend(1, requests=5)], True),
    ],
)
def test_only_a_rank_with_free_slots_is_a_migration_target(
    pace: float, others: list[BackendState], moves: bool
) -> None:
    target = find_migration_target(others, make_backend(pace))
    assert (target is not None) is moves
