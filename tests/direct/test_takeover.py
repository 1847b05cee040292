"""Streams whose backend is silent."""

from __future__ import annotations

import curio
import pytest

from ospreyford.direct.catalog import RetryMode, Route
from ospreyford.direct.decisions import RequestEnded
from ospreyford.direct.settings import RetrySettings
from ospreyford.direct.takeover import STALL_SECONDS
from ospreyford.http.errors import HttpError
from ospreyford.http.server import Exchange
from tests.direct import backends as be

RESUMABLE = be.make_route(RetryMode.resumable, streams=True, timeout=6.0)
THREE = be.make_route(
    RetryMode.resumable, streams=True, timeout=6.0, attempts=3
)
ONCE = be.make_route(RetryMode.once, streams=True, timeout=6.0)
NO_RETRIES = RetrySettings(ratio=0, slack=0, window=10)
RETRIES = be.SETTINGS.retries
EVENTS = 5
WHOLE = b''.join(map(be.make_event, range(1, EVENTS + 1)))
#: Longer than the silence after which another backend is asked.
PAUSE_SECONDS = STALL_SECONDS + 0.6


def pause(
    after: int, seconds: float = PAUSE_SECONDS, *, breaks: bool = False
) -> be.Script:
    """Stream events with a pause after one of them."""

    async def run(exchange: Exchange) -> None:
        last = be.read_field(exchange.request.headers, b'last-event-id')
        await exchange.start(200, be.sign(exchange))
        for number in range(int(last or 0) + 1, EVENTS + 1):
            await exchange.write(be.make_event(number))
            if number == after:
                await curio.sleep(seconds)
                if breaks:
                    raise curio.CancelledError
        await exchange.finish()

    return run


async def mute(exchange: Exchange) -> None:
    await exchange.start(200, be.sign(exchange))
    await curio.sleep(60)


def begin_late(seconds: float) -> be.Script:
    """Wait before the first event."""

    async def run(exchange: Exchange) -> None:
        await curio.sleep(seconds)
        await be.stream(EVENTS)(exchange)

    return run


async def send_comment(exchange: Exchange) -> None:
    await exchange.start(200, be.sign(exchange))
    await exchange.write(b': queued\n\n')
    await curio.sleep(60)


async def end_at_once(exchange: Exchange) -> None:
    await exchange.start(200, be.sign(exchange))
    await exchange.finish()


async def send_half(exchange: Exchange) -> None:
    await exchange.start(200, be.sign(exchange))
    await exchange.write(be.make_event(3)[:9])
    raise curio.CancelledError


async def ask(
    route: Route, scripts: tuple[be.Script, ...], retries: RetrySettings
) -> tuple[bytes, be.Site]:
    site = await be.open_site(route, *scripts)
    site.context.budget.settings = retries
    for number, backend in enumerate(site.backends):
        state = site.context.backends.find(backend.name)
        assert state is not None
        state.remote_in_flight = number
    try:
        _, body = await site.ask(headers=((b'x-deadline', b'6000'),))
    except HttpError:
        body = b''
    # The entry logs the end after its caller has seen it.
    await curio.sleep(0.1)
    return body, site


@pytest.mark.parametrize(
    ('route', 'scripts', 'retries', 'outcomes'),
    [
        (ONCE, (pause(2), be.stream(EVENTS)), RETRIES, ['Streaming']),
        (RESUMABLE, (pause(2), be.answer), NO_RETRIES, ['Streaming']),
        (
            RESUMABLE,
            (pause(2), be.refuse),
            RETRIES,
            ['Streaming', 'Declined'],
        ),
        (RESUMABLE, (pause(2), mute), RETRIES, ['Streaming', 'Dropped']),
        (
            RESUMABLE,
            (pause(2, 60), be.stream(EVENTS)),
            RETRIES,
            ['Silent', 'Streaming'],
        ),
        (
            RESUMABLE,
            (pause(2, 1.4, breaks=True), be.stream(EVENTS)),
            RETRIES,
            ['Silent', 'Streaming'],
        ),
        (
            RESUMABLE,
            (pause(2, 1.5, breaks=True), begin_late(0.6)),
            RETRIES,
            ['Silent', 'Streaming'],
        ),
        (
            RESUMABLE,
            (pause(EVENTS, 1.6, breaks=True), be.stream(EVENTS)),
            RETRIES,
            ['Silent', 'Streaming'],
        ),
        (
            RESUMABLE,
            (pause(2), send_comment),
            RETRIES,
            ['Streaming', 'Dropped'],
        ),
        (RESUMABLE, (pause(2), send_half), RETRIES, ['Streaming', 'Dropped']),
        (
            THREE,
            (pause(2, 60), mute, be.stream(EVENTS)),
            RETRIES,
            ['Silent', 'Dropped', 'Streaming'],
        ),
        (RESUMABLE, (pause(2), end_at_once), RETRIES, ['Streaming', 'Dropped']),
        (
            THREE,
            (pause(2, 60), begin_late(1.5), begin_late(1.5)),
            RETRIES,
            ['Silent', 'Dropped', 'Streaming'],
        ),
    ],
    ids=[
        'once',
        'no retries',
        'refused',
        'mute',
        'taken over',
        'broken off',
        'found after the end',
        'end is left',
        'comment',
        'half an event',
        'third backend',
        'empty end',
        'late candidates',
    ],
)
def test_silent_backend_ends_no_stream(
    route: Route,
    scripts: tuple[be.Script, ...],
    retries: RetrySettings,
    outcomes: list[str],
) -> None:
    """A stream was cut when its backend was silent for 1.2 s."""
    body, site = curio.run(ask, route, scripts, retries)
    assert body == WHOLE
    ended = site.log.find(RequestEnded)[0]
    assert [one.split()[2] for one in ended.attempts] == outcomes


def test_search_without_another_backend_spends_no_retry() -> None:
    """Streams of a silent group used up the retries of all."""
    _, site = curio.run(ask, RESUMABLE, (pause(2, 3),), RETRIES)
    assert not site.context.retries.spent_count


def test_stream_that_breaks_off_after_silence_is_cut() -> None:
    broken = pause(2, breaks=True)
    body, site = curio.run(ask, ONCE, (broken,), RETRIES)
    assert not body
    assert site.log.find(RequestEnded)[0].verdict == 'Cut'


def test_nothing_is_left_in_flight() -> None:
    """Attempts dropped for another one must release what they hold."""
    _, site = curio.run(ask, RESUMABLE, (pause(2), mute), RETRIES)
    states = [site.context.backends.find(one.name) for one in site.backends]
    assert [one.in_flight for one in states if one is not None] == [0, 0]
    assert set(site.context.zones.under_way.values()) <= {0}
