from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from ospreyford.http.client import ClientConnection
from ospreyford.http.errors import ConnectionLost
from ospreyford.http.message import Request
from ospreyford.standins.controls import ask, control, read_journal
from ospreyford.standins.launcher import Launched, Launcher
from ospreyford.standins.process import LOOPBACK

RATE = Request('GET', '/rates/a', ((b'host', b'desk'),))
QUIET_SECONDS = 0.2
LONG_SECONDS = 5
Check = Callable[['Proxied'], Awaitable[None]]


class Proxied:
    """A plain service behind a proxy, and one open connection to it."""

    def __init__(self, desk: Launched, proxy: Launched) -> None:
        self.desk = desk.port
        self.control = proxy.port
        self.listen = proxy.ports['listen']

    async def open(self) -> None:
        self.old = await ClientConnection.open(LOOPBACK, self.listen, 5)
        await self.call_on_old()

    async def call_on_old(self) -> bytes:
        await self.old.send(RATE)
        await self.old.read_head()
        body = await self.old.read_body()
        assert self.old.start_next_cycle()
        return body

    async def old_is_silent(self) -> bool:
        """Whether no byte comes for a call; the wait can't give a false no."""
        return await is_silent(self.call_on_old())

    async def count_runs(self) -> int:
        return len(await read_journal(self.desk))

    async def call_on_new(self) -> int:
        return (await ask(self.listen, 'GET', '/rates/a')).status


async def is_silent(call: Any) -> bool:
    async with curio.ignore_after(QUIET_SECONDS) as scope:
        await call
    return bool(scope.expired)


@pytest.fixture
def proxied(launcher: Launcher) -> Proxied:
    options = ('--service-seconds', 0)
    desk = launcher.start('ospreyford.standins.plain', *options)
    upstream = ('--upstream', f'{LOOPBACK}:{desk.port}')
    proxy = launcher.start('ospreyford.standins.faultproxy', *upstream)
    return Proxied(desk, proxy)


async def check_forward(proxied: Proxied) -> None:
    assert await proxied.call_on_old()
    assert await proxied.call_on_new() == 200


async def check_silent(proxied: Proxied) -> None:
    assert await proxied.old_is_silent()
    assert await proxied.count_runs() == 1
    assert await proxied.call_on_new() == 200
    await control(proxied.control, {'mode': 'forward'})
    assert await is_silent(proxied.old.read_head())


async def check_all_silent(proxied: Proxied) -> None:
    assert await proxied.old_is_silent()
    assert await is_silent(proxied.call_on_new())
    assert await proxied.count_runs() == 1
    await control(proxied.control, {'mode': 'forward'})
    assert await proxied.call_on_new() == 200


async def check_cut_up(proxied: Proxied) -> None:
    assert await proxied.old_is_silent()
    assert await proxied.count_runs() == 1
    await control(proxied.control, {'mode': 'forward'})
    assert (await proxied.old.read_head()).status == 200


async def check_cut_down(proxied: Proxied) -> None:
    assert await proxied.old_is_silent()
    assert await proxied.count_runs() == 2
    await control(proxied.control, {'mode': 'forward'})
    assert (await proxied.old.read_head()).status == 200


async def check_reset(proxied: Proxied) -> None:
    with pytest.raises(ConnectionLost):
        await proxied.call_on_old()
    assert await proxied.call_on_new() == 200


async def check_all_reset(proxied: Proxied) -> None:
    with pytest.raises(ConnectionLost):
        await proxied.call_on_old()
    with pytest.raises(ConnectionLost):
        await proxied.call_on_new()
    assert await proxied.count_runs() == 1


async def check_drop_down(proxied: Proxied) -> None:
    with pytest.raises(ConnectionLost):
        await proxied.call_on_old()
    with pytest.raises(ConnectionLost):
        await proxied.call_on_new()
    assert await proxied.count_runs() == 3
    closed = [
        entry.note['down']
        for entry in await read_journal(proxied.control)
        if entry.event == 'closed'
    ]
    assert closed[1] == 20


@pytest.mark.parametrize(
    ('mode', 'check'),
    [
        ({'mode': 'forward'}, check_forward),
        ({'mode': 'delay', 'seconds': 0.01}, check_forward),
        ({'mode': 'silent'}, check_silent),
        ({'mode': 'silent', 'new': True}, check_all_silent),
        ({'mode': 'cut', 'direction': 'up'}, check_cut_up),
        ({'mode': 'cut', 'direction': 'down'}, check_cut_down),
        ({'mode': 'reset'}, check_reset),
        ({'mode': 'reset', 'new': True}, check_all_reset),
        (
            {'mode': 'drop-after', 'direction': 'down', 'byte_count': 20},
            check_drop_down,
        ),
    ],
)
def test_mode_does_what_it_says(
    proxied: Proxied, mode: Any, check: Check
) -> None:
    curio.run(apply_mode, proxied, mode, check)


async def apply_mode(proxied: Proxied, mode: Any, check: Check) -> None:
    await proxied.open()
    await control(proxied.control, mode)
    # A mode that holds back what it should close would hang the check.
    await curio.timeout_after(LONG_SECONDS, check, proxied)
    await proxied.old.close()


def test_proxy_without_upstream_closes(launcher: Launcher) -> None:
    upstream = ('--upstream', f'{LOOPBACK}:1')
    proxy = launcher.start('ospreyford.standins.faultproxy', *upstream)
    with pytest.raises(ConnectionLost):
        curio.run(ask, proxy.ports['listen'], 'GET', '/rates/a')
    events = [entry.event for entry in curio.run(read_journal, proxy.port)]
    assert events == ['refused']
