"""Streams of a service whose backends form two groups."""

from __future__ import annotations

import curio
import pytest

from ospreyford.direct.callgroups import CallGroups
from ospreyford.direct.gates import find_gate, refresh_groups
from ospreyford.direct.grouproom import GroupRoom
from ospreyford.direct.migration import StreamMigrator
from ospreyford.http.server import Exchange
from tests.direct import backends as be
from tests.direct.test_gate import ROUTE, make_call
from tests.direct.test_withheld_requests import (
    BACKOFF,
    LEAVING,
    LONG,
    Declared,
    add_engine,
    ask,
    declare,
    find_backend,
)

#: Ranks of group g come first.
GROUPS = 'ggh'
WHOLE = b''.join(be.make_event(number) for number in range(1, 5))


async def open_groups(*scripts: be.Script) -> be.Site:
    """Open a site with two groups, told by their agents."""
    site = await be.open_site(ROUTE, *scripts)
    add_engine(site)
    context = site.context
    refresh_groups(context)
    for backend, name in zip(site.backends, GROUPS, strict=True):
        server = find_backend(site, backend.name).server
        address = server.host, server.port
        context.groups.directory.record_name(address, name)
    refresh_groups(context)
    assert find_gate(context, make_call()) is not None
    return site


def find_room(site: be.Site, name: str) -> GroupRoom:
    room = site.context.gates['service'].rooms.find(name)
    assert room is not None
    return room


async def break_group() -> tuple[be.Site, bytes]:
    site: be.Site | None = None

    async def break_off(exchange: Exchange) -> None:
        await exchange.start(200, be.sign(exchange))
        await exchange.write(be.make_event(1))
        await curio.sleep(0.1)
        assert site is not None
        find_room(site, 'h').record_start()
        find_room(site, 'g').record_refusal()
        raise curio.CancelledError

    site = await open_groups(break_off, break_off, be.stream(4))
    find_room(site, 'h').record_refusal()
    _, body = await site.ask(headers=LONG)
    return site, body


def test_a_stream_of_a_broken_group_goes_on_in_the_other() -> None:
    """More ranks of a closed group would use up its attempts."""
    site, body = curio.run(break_group)
    assert body == WHOLE
    runs = site.count_runs()
    assert (runs[0] + runs[1], runs[2]) == (1, 1)
    rooms = site.context.gates['service'].rooms.list_all()
    assert [room.running for room in rooms] == [0, 0]


async def decline(declared: Declared, declining: str) -> tuple[int, list[int]]:
    site = await open_groups(*(be.stream(4) for _ in GROUPS))
    for backend, name in zip(site.backends, GROUPS, strict=True):
        if name in declining:
            declare(site, backend.name, declared)
    statuses = [await ask(site) for _ in range(8)]
    assert len(set(statuses)) == 1
    return statuses[0], site.count_runs()


@pytest.mark.parametrize('declared', [BACKOFF, LEAVING])
@pytest.mark.parametrize('declining', ['g', 'h', 'gh'])
def test_a_declining_group_leaves_streams_to_the_other(
    declared: Declared, declining: str
) -> None:
    """Callers must not be refused for one group while another has room."""
    status, runs = curio.run(decline, declared, declining)
    by_group = {'g': sum(runs[:2]), 'h': runs[2]}
    if declining == 'gh':
        assert status == 503
    else:
        assert status == 200
        assert sum(by_group.values()) == 8
    assert not any(by_group[name] for name in declining)


async def move(target: str) -> bool:
    site = await open_groups(*(be.stream(4) for _ in GROUPS))
    for name in ('b0', 'b1', 'b2'):
        find_backend(site, name).slowdown = 1 if name == target else 4
    call = make_call()
    call.room = find_room(site, 'g')
    migrator = StreamMigrator(call, site.context, 6)
    return migrator.should_migrate(find_backend(site, 'b0'))


@pytest.mark.parametrize(('target', 'moves'), [('b1', True), ('b2', False)])
def test_streams_move_within_their_group(target: str, moves: bool) -> None:
    """A move to a rank of another group would pass its admission by."""
    assert curio.run(move, target) is moves


async def leave_twice() -> list[bool]:
    site = await open_groups(*(be.stream(4) for _ in GROUPS))
    call = make_call()
    groups = CallGroups(call, site.context)
    left = []
    for _ in range(2):
        call.room = find_room(site, 'g')
        left.append(groups.leave())
    return left


def test_a_group_is_left_once() -> None:
    """A call that is admitted to the same group again would never end."""
    assert curio.run(leave_twice) == [True, False]
