"""Decisions on zones out of service, and what operators and agents see."""

from __future__ import annotations

import time
from random import Random
from typing import Any

import curio
import msgspec
import pytest

from ospreyford.direct.admission import GroupLoad, StreamLimit
from ospreyford.direct.catalog import RetryMode
from ospreyford.direct.operatorport import OperatorPort
from ospreyford.direct.registry import BackendServer, BackendState
from ospreyford.direct.zonedecisions import (
    ZoneDecision,
    ZoneEmptied,
    ZoneTakenBack,
    ZoneTakenOut,
)
from ospreyford.direct.zonereport import ZoneReporter
from ospreyford.direct.zonereturn import leave_out_returning
from ospreyford.direct.zones import (
    FIRST_SHARE,
    MEMORY_SECONDS,
    RESTORE_HOLD_SECONDS,
    RETURN_SECONDS,
    ZonesOut,
)
from ospreyford.http.client import fetch
from ospreyford.http.message import Request
from ospreyford.http.server import listen, port_of
from tests.direct import backends as be
from tests.fakes.loopback import next_address

NOW = 1000.0
DRAWS = 1000
Step = tuple[Any, ...]


def write(revision: int) -> Step:
    return ('change', revision, True)


def remove(revision: int) -> Step:
    return ('change', revision, False)


def show(revision: int, written: int | None = None) -> Step:
    """Read the store, which shows the key as written then, or lacks it."""
    return ('listing', revision, written)


RESTORE: Step = ('restore',)


def wait(seconds: float) -> Step:
    """Let time pass; then the store answers a watch without changes."""
    return ('wait', seconds)


HELD = wait(RESTORE_HOLD_SECONDS - 1)
SETTLED = wait(RESTORE_HOLD_SECONDS)
ReadCase = tuple[str, tuple[Step, ...], bool]
#: What an entry reads, and whether the zone is out then.
READ: tuple[ReadCase, ...] = (
    ('never', (show(9),), False),
    ('at start', (show(9, 5),), True),
    ('written', (show(9), write(10)), True),
    ('removed', (show(9), write(10), remove(11)), False),
    ('written twice', (write(10), write(11), remove(12)), False),
    ('out again', (write(10), remove(11), write(12)), True),
    ('removed unseen', (remove(11),), False),
    # The watch begins before the listing, which shows all up to its revision.
    ('replayed removal', (show(9, 8), remove(7)), True),
    ('replayed writing', (show(9), write(7)), False),
    ('written after listing', (show(9), write(7), write(10)), True),
    ('listed anew', (show(9, 5), show(20)), False),
    ('listed as of before', (write(10), show(9)), True),
    ('listed with it', (write(10), remove(11), show(20, 15)), True),
    ('lost in a copy', (write(10), RESTORE, show(9)), True),
    ('lost and held', (write(10), RESTORE, show(9), HELD), True),
    ('lost for good', (write(10), RESTORE, show(9), SETTLED), False),
    # As the store is not read, nothing can end what was learned.
    ('lost, not read', (write(10), RESTORE, RESTORE), True),
    ('lost twice', (write(10), RESTORE, show(9), HELD, RESTORE, show(9), HELD),
     True),
    ('written again', (write(10), RESTORE, show(9), write(10), SETTLED), True),
    ('again, removed', (write(10), RESTORE, show(9), write(10), remove(11)),
     False),
    ('removed after loss', (write(10), RESTORE, show(9), remove(10)), False),
    ('kept in copy', (write(10), RESTORE, show(12, 10), SETTLED), True),
    ('removal lost', (write(10), remove(11), RESTORE, show(10, 10)), False),
    ('removal lost for good',
     (write(10), remove(11), RESTORE, show(10, 10), SETTLED), True),
    ('removal lost, repeated',
     (write(10), remove(11), RESTORE, show(10, 10), remove(11), SETTLED),
     False),
    ('out anew in copy', (write(10), remove(11), RESTORE, show(14, 13)), True),
    ('out anew after copy',
     (write(10), remove(11), RESTORE, show(9), write(10)), True),
    ('unknown in copy', (RESTORE, show(9, 5)), True),
)  # fmt: skip


def play(zones: ZonesOut, steps: tuple[Step, ...]) -> float:
    """Apply what an entry reads.

    :returns: the time at the end.
    """
    now = NOW
    for step in steps:
        match step:
            case 'change', revision, is_out:
                zones.record_change('z', revision, now, is_out=is_out)
            case 'listing', revision, written:
                listed = {} if written is None else {'z': written}
                zones.record_listing(listed, revision, now)
            case ('restore',):
                zones.start_restore(now)
            case 'wait', seconds:
                now += seconds
                zones.settle(now)
    return now


@pytest.mark.parametrize(
    ('steps', 'is_out'),
    [pytest.param(steps, is_out, id=name) for name, steps, is_out in READ],
)
def test_zones_follow_what_is_read(
    steps: tuple[Step, ...], is_out: bool
) -> None:
    """A zone that is out must stay so until a reading can vouch otherwise."""
    zones = ZonesOut()
    play(zones, steps)
    assert zones.is_out('z') is is_out
    assert zones.out_count == int(is_out)


def test_zones_taken_back_are_forgotten() -> None:
    zones = ZonesOut()
    play(zones, (write(10), remove(11), wait(MEMORY_SECONDS)))
    assert not zones.has_any()


#: Seconds after a zone was taken back, and its share.
SHARES = (
    (0, FIRST_SHARE),
    (0.1, FIRST_SHARE),
    (1, 0.2),
    (2.5, 0.5),
    (5, 1),
)


@pytest.mark.parametrize(('seconds', 'share'), SHARES)
def test_a_returning_zone_comes_to_its_share(
    seconds: float, share: float
) -> None:
    """Its idle backends would get nearly all requests of all entries."""
    zones = ZonesOut()
    now = play(zones, (write(10), remove(11))) + seconds
    returning, other = make_backend('z'), make_backend('other')
    random = Random(4)
    considered = 0
    for _ in range(DRAWS):
        left = leave_out_returning([returning, other], (), zones, now, random)
        assert other in left
        considered += returning in left
    assert considered / DRAWS == pytest.approx(share, abs=0.05)


@pytest.mark.parametrize(
    ('names', 'tried'), [(('z',), ()), (('z', 'other'), ('other',))]
)
def test_requests_go_to_a_returning_zone_if_no_other_is_left(
    names: tuple[str, ...], tried: tuple[str, ...]
) -> None:
    zones = ZonesOut()
    now = play(zones, (write(10), remove(11)))
    listed = [make_backend(name) for name in names]
    found = leave_out_returning(listed, tried, zones, now, Random(1))
    assert found == listed


def make_backend(zone: str) -> BackendState:
    return BackendState(
        BackendServer(zone, 'service', '10.0.0.1', 80, zone, 6, False, 1)
    )


def test_groups_get_no_more_streams_than_ranks_in_use_hold() -> None:
    """Passes measured with all ranks allow more than those left can run."""
    limits = StreamLimit(0.12), StreamLimit(0.12)
    # A stream costs little, so that passes alone would allow more.
    load = GroupLoad(20, 0, 0.03, 0.01)
    limits[0].update_load(load, 5, 4)
    limits[1].update_load(load._replace(free_slots=8), 5, 4)
    assert limits[0].regular > 7
    assert limits[1].regular == limits[1].urgent == 7


async def see_a_zone_go() -> tuple[be.Site, dict[str, Any], str]:
    """Take a zone out with requests under way, and back after their end."""
    route = be.make_route(RetryMode.idempotent)
    site = await be.open_site(route, be.answer, be.answer)
    context = site.context
    port = OperatorPort(context)
    host = next_address()
    sock = listen(host, 0)
    address = (host, port_of(sock))
    await sock.close()
    await port.start(*address)
    reporter = ZoneReporter(context)
    context.zones.under_way['a'] = 2
    context.zones.record_change('a', 10, time.monotonic(), is_out=True)
    context.zones.record_change('no', 11, time.monotonic(), is_out=True)
    reporter.report(time.monotonic())
    _, body = await fetch(address, Request('GET', '/status', ()))
    _, metrics = await fetch(address, Request('GET', '/metrics', ()))
    for under_way in (1, 0, 0):
        context.zones.under_way['a'] = under_way
        reporter.report(time.monotonic())
    context.zones.record_change('a', 12, time.monotonic(), is_out=False)
    for _ in range(2):
        reporter.report(time.monotonic())
    return site, msgspec.json.decode(body), metrics.decode()


def test_operators_see_zones_that_are_out() -> None:
    """They must learn when a zone is empty, and of a misspelled name."""
    site, status, metrics = curio.run(see_a_zone_go)
    lines = [one for one in site.log.events if isinstance(one, ZoneDecision)]
    assert lines == [
        ZoneTakenOut('a', 10, backends=2, requests=2),
        ZoneTakenOut('no', 11, backends=0, requests=0),
        ZoneEmptied('a', out_seconds=0),
        ZoneTakenBack('a', 12, backends=2, requests=0),
    ]
    rows = [(one['zone'], one['state'], one['backends'], one['under_way'])
            for one in status['zones']]  # fmt: skip
    assert rows == [('a', 'out', 2, 2), ('no', 'out', 0, 0)]
    assert 'ospreyford_zone_share{zone="a"} 0.0' in metrics
    assert 'ospreyford_zone_requests{zone="a"} 2.0' in metrics
    assert 'ospreyford_zones_out 2.0' in metrics


async def count_room() -> tuple[list[float], list[int]]:
    site = await be.open_site(
        be.make_route(RetryMode.idempotent), be.answer, be.answer
    )
    context = site.context
    state = context.backends.find('b1')
    assert state is not None
    state.server = state.server._replace(zone='z')
    state.in_flight = 2
    room: list[float] = []
    members: list[int] = []
    for step in ((), (write(10),), (remove(11),)):
        play(context.zones, step)
        available = context.backends.list_available('service')
        room.append(context.room.count_slots(available))
        room.append(context.room.count_free_slots(available))
        members.append(len(context.backends.list_all('service')))
    return room, members


def test_room_is_that_of_the_zones_in_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Ranks of a zone that is out stay members, but hold no further streams."""
    monkeypatch.setattr(time, 'monotonic', lambda: NOW + RETURN_SECONDS / 2)
    room, members = curio.run(count_room)
    assert room == [12, float('inf'), 6, 6, 9, 7]
    assert members == [2, 2, 2]
