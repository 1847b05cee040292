"""The whole path over TLS and with sealed control messages."""

from __future__ import annotations

import json
import shutil
import ssl
import subprocess
import sys
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException, HTTPSConnection
from pathlib import Path
from types import MappingProxyType

import pytest

from ospreyford.settings.types import split_address
from ospreyford.standins.deployment import PENSION_OFFICE, Size
from ospreyford.standins.fleet import Fleet, ask
from ospreyford.standins.launcher import Launcher
from tests.security.material import Authority, write_keys

ROOT = Path(__file__).parents[2]
DOCUMENTS = ROOT / 'examples/pension-office/documents'
SIZE = Size(model_replicas=1, plain_replicas=1, entries=1)
NAMES = (
    'pension-office-entry-1',
    'pension-office-model-1',
    'pension-office-plain-1',
)
HEADERS = MappingProxyType(
    {
        'ospreyford-customer': 'retiree-portal',
        'ospreyford-service': 'quotation',
    }
)


@pytest.fixture(scope='module')
def authority(tmp_path_factory: pytest.TempPathFactory) -> Authority:
    return Authority(tmp_path_factory.mktemp('certificates'))


@pytest.fixture(scope='module')
def fleet(
    authority: Authority, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[Fleet]:
    directory = tmp_path_factory.mktemp('fleet')
    shutil.copytree(DOCUMENTS, directory / 'documents')
    settings = authority.issue(*NAMES, '127.0.0.1')
    keys = write_keys(directory / 'keys', 'ab' * 32)
    section = (
        '\n[security]\n'
        f'certificate = "{settings.certificate}"\n'
        f'private_key = "{settings.private_key}"\n'
        f'authority = "{settings.authority}"\n'
        f'control_keys = "{keys}"\n'
    )
    with Launcher() as launcher:
        fleet = Fleet(
            launcher,
            PENSION_OFFICE,
            SIZE,
            directory / 'documents',
            directory,
            {'entry': f'{section}callers = "tls"\n', 'backend': section},
        )
        fleet.start()
        yield fleet


def test_requests_pass(fleet: Fleet, authority: Authority) -> None:
    entry = fleet.list_entries()[0]
    context = ssl.create_default_context(cafile=str(authority.path))
    caller = HTTPSConnection(
        *split_address(entry.host.data_address), timeout=20, context=context
    )
    for number in range(3):
        caller.request('GET', f'/rates/r{number}', headers=dict(HEADERS))
        answer = caller.getresponse()
        assert answer.status == 200
        assert json.loads(answer.read())['name'] == f'r{number}'
        assert answer.getheader('ospreyford-outcome') == 'answered'


def test_members_see_each_other(fleet: Fleet) -> None:
    port = split_address(fleet.list_entries()[0].admin_address)[1]
    assert ask(port, '/status')['configuration']['revision'] > 0


def test_callers_in_plain_get_nothing(fleet: Fleet) -> None:
    address = split_address(fleet.list_entries()[0].host.data_address)
    caller = HTTPConnection(*address, timeout=20)
    with pytest.raises((HTTPException, OSError)):
        caller.request('GET', '/rates/a', headers=dict(HEADERS))
        caller.getresponse()


def test_a_wrong_file_ends_the_program(fleet: Fleet, tmp_path: Path) -> None:
    text = fleet.list_entries()[0].settings.read_text()
    path = tmp_path / 'entry.toml'
    path.write_text(text.replace('/keys"', '/no-keys"'))
    ended = subprocess.run(
        [
            sys.executable,
            '-m',
            'ospreyford.console.entry',
            f'--settings={path}',
        ],
        capture_output=True,
        text=True,
        env={'PYTHONPATH': f'{ROOT}/src'},
        timeout=60,
        check=False,
    )
    assert ended.returncode == 2
    line = ended.stderr.strip()
    assert line.startswith(f'{path}: security.control_keys = "')
    assert line.endswith('allowed: a key of 64 hex digits in each line')
