from __future__ import annotations

from pathlib import Path
from typing import Any

import curio
import msgspec
import pytest

from ospreyford.ports.fleet import Host
from ospreyford.standins.controls import ask, control
from ospreyford.standins.hostlist import HostDocument, publish_host
from ospreyford.standins.launcher import Launcher


def make_host(name: str) -> Any:
    host = Host(name, 'i1', 'backend', 'zone', 'region', 's', 'd', 'p')
    return publish_host(host)


@pytest.fixture
def port(launcher: Launcher, tmp_path: Path) -> int:
    path = tmp_path / 'hosts.json'
    hosts = HostDocument(hosts=(make_host('a'), make_host('b')))
    path.write_bytes(msgspec.json.encode(hosts))
    options = ('--hosts', str(path))
    return launcher.start('ospreyford.standins.hostlist', *options).port


def list_states(port: int) -> dict[str, str]:
    reply = curio.run(ask, port, 'GET', '/v1/hosts')
    hosts = reply.decode(HostDocument).hosts
    return {host.name: host.state.value for host in hosts}


@pytest.mark.parametrize('lag', [0, 3600])
@pytest.mark.parametrize(
    ('message', 'states'),
    [
        ({'add': make_host('c')}, {'a': 'live', 'b': 'live', 'c': 'live'}),
        ({'leave': 'a'}, {'a': 'leaving', 'b': 'live'}),
        ({'remove': 'a'}, {'b': 'live'}),
        ({'leave': 'unknown'}, {'a': 'live', 'b': 'live'}),
    ],
)
def test_changes_show_after_the_lag(
    port: int, message: Any, states: dict[str, str], lag: float
) -> None:
    curio.run(control, port, {'lag_seconds': lag})
    curio.run(control, port, message)
    expected = {'a': 'live', 'b': 'live'} if lag else states
    assert list_states(port) == expected


def test_down_and_up_again(port: int) -> None:
    curio.run(control, port, {'mode': 'down'})
    assert curio.run(ask, port, 'GET', '/v1/hosts').status == 503
    curio.run(control, port, {'mode': 'up'})
    assert list_states(port) == {'a': 'live', 'b': 'live'}
