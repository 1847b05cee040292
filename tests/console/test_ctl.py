from __future__ import annotations

import pathlib
import subprocess
import sys
import threading
from collections.abc import Iterator, Mapping
from types import MappingProxyType

import curio
import msgspec
import pytest

from ospreyford.console import ctl
from ospreyford.observability.admin import (
    AdminPort,
    BadQuery,
    NothingFound,
    Provider,
    Query,
    require_parameter,
)
from ospreyford.observability.metrics import Metrics
from ospreyford.settings.sections import Listen
from tests.settings.test_loader import AGENT, ENTRY

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLES = ROOT / 'examples'
DOCUMENTS = EXAMPLES / 'pension-office' / 'documents'
NOBODY = '127.0.0.1:1'
Providers = Mapping[str, Provider]

LISTEN = Listen(
    data_address='127.0.0.1:1',
    admin_address='127.0.0.1:0',
    peer_address='127.0.0.1:2',
)
SPAN: Mapping[str, object] = MappingProxyType(
    {
        'span_id': 'a',
        'hop': 'entry',
        'host': 'entry-1',
        'start_ns': 1_000_000,
        'end_ns': 3_500_000,
        'outcome': 'answered\x1b[2J',
    }
)


def explain(query: Query) -> object:
    customer = require_parameter(query, 'customer', 'a customer')
    if customer == 'bad':
        raise BadQuery('customer', 'a customer')
    return {'customer': customer, 'service': query['service']}


def find_spans(query: Query) -> object:
    if query['request'] == 'r1':
        return [SPAN, {**SPAN, 'span_id': 'b', 'hop': 'caller', 'start_ns': 0}]
    raise NothingFound(f'request {query["request"]}')


def find_nothing(query: Query) -> object:
    raise NothingFound('request r1')


def fail(query: Query) -> object:
    raise ZeroDivisionError


GOOD: Providers = MappingProxyType(
    {
        '/status': lambda _: {'revision': 7, 'drains': []},
        '/explain': explain,
        '/drains': lambda _: [
            {'host': 'h1', 'causes': ['a', 'b'], 'running': 2},
            {'host': 'h2', 'causes': [], 'running': None},
        ],
        '/plan': lambda _: {'revision': 3, 'reason': None},
        '/traces': find_spans,
    }
)
OTHER: Providers = MappingProxyType(
    {
        '/status': fail,
        '/traces': find_nothing,
    }
)


class FakeEntry:
    """An admin port in a thread of its own."""

    def __init__(self, providers: Providers) -> None:
        self.port = 0
        self._providers = providers
        self._listening = threading.Event()
        self._stop = curio.UniversalEvent()
        self._thread = threading.Thread(target=curio.run, args=(self._run,))
        self._thread.start()
        assert self._listening.wait(5)

    def close(self) -> None:
        self._stop.set()
        self._thread.join(5)
        assert not self._thread.is_alive()

    async def _run(self) -> None:
        port = AdminPort(
            LISTEN,
            Metrics(),
            self._providers,
            tuple,
        )
        self.port = port.port
        task = await curio.spawn(port.run)
        self._listening.set()
        await self._stop.wait()
        await task.cancel()


@pytest.fixture(scope='module')
def entries() -> Iterator[dict[str, str]]:
    good, other = FakeEntry(GOOD), FakeEntry(OTHER)
    yield {
        'good': f'127.0.0.1:{good.port}',
        'other': f'127.0.0.1:{other.port}',
        'nobody': NOBODY,
    }
    good.close()
    other.close()


class Outcome(msgspec.Struct):
    code: int
    output: str
    errors: str


def run_ctl(
    arguments: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> Outcome:
    monkeypatch.setattr(sys, 'argv', ['ospreyfordctl', *arguments.split()])
    with pytest.raises(SystemExit) as ended:
        ctl.main()
    written = capsys.readouterr()
    assert isinstance(ended.value.code, int)
    return Outcome(int(ended.value.code), written.out, written.err)


# Command line ({good}, {other} and {nobody} are admin addresses), exit code,
# and what is written.
COMMANDS = (
    ('--entry {good} status', 0, 'revision: 7\ndrains: none\n'),
    ('status --entry {nobody},{good}', 0, 'revision: 7'),
    ('status --entry {other},{good}', 0, 'revision: 7'),
    ('status --entry {nobody},{other}', 3, '{other}: status 500'),
    ('status --entry {good} --output json', 0, '"revision": 7'),
    ('explain --customer 12 --service a,b --entry {good}', 0, 'service: a,b'),
    ('explain 1e5 [x] --entry {good}', 0, 'customer: 1e5\nservice: [x]'),
    ('explain bad x --entry {good}', 1, 'customer: allowed: a customer'),
    ('drain-progress --entry {good}', 0, 'h1      a, b      2\n'),
    ('plan --entry {good}', 0, 'revision: 3\nreason: none\n'),
    ('plan --entry {other}', 1, 'known paths: /status, /traces'),
    ('trace r1 --entry {other},{good}', 0, 'caller  entry-1       0.000'),
    ('trace r1 --entry {good}', 0, r'answered\x1b[2J'),
    ('trace r2 --entry {other},{good}', 1, 'request r2'),
    ('trace r1 --entry {nobody}', 3, 'ConnectionRefused'),
    ('trace r1 --entry {good} --output json', 0, '"hop": "caller"'),
    ('status', 2, 'no entry named'),
    ('status --entry localhost:80', 2, '(no host names)'),
    ('status --entry {good} --output xml', 2, 'text or json'),
    ('status --settings /nonexistent', 2, 'a readable file'),
    ('explain --customer 1', 2, 'required argument: service'),
    ('nonsense', 2, 'available commands'),
    ('--help', 0, 'Exit codes: 0 done'),
    ('trace --help', 0, 'ospreyfordctl trace 0198f2c4'),
    ('check', 2, 'PATH = (missing)'),
    ('check /nonexistent', 2, 'No such file or directory'),
    (
        f'check {EXAMPLES}/pension-office',
        0,
        '4 settings files: 0 rejected, 0 wrong, 0 warnings',
    ),
    (
        f'check {EXAMPLES}/caterer',
        0,
        '4 settings files: 0 rejected, 0 wrong, 0 warnings',
    ),
    (
        f'explain c1 drafting --documents {DOCUMENTS}',
        0,
        'kind: ServiceNotSelected',
    ),
)


@pytest.mark.parametrize(('arguments', 'code', 'text'), COMMANDS)
def test_command(
    arguments: str,
    code: int,
    text: str,
    entries: dict[str, str],
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.delenv('OSPREYFORD_ENTRIES', raising=False)
    outcome = run_ctl(arguments.format(**entries), monkeypatch, capsys)
    assert outcome.code == code, outcome
    expected = text.format(**entries) if '{' in text else text
    assert expected in outcome.output + outcome.errors
    assert 'Traceback' not in outcome.errors


def test_environment(
    entries: dict[str, str],
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setenv('OSPREYFORD_ENTRIES', f'{NOBODY}, {entries["good"]}')
    assert run_ctl('status', monkeypatch, capsys).code == 0
    monkeypatch.setenv('OSPREYFORD_ENTRIES', NOBODY)
    assert run_ctl('status', monkeypatch, capsys).code == 3
    path = tmp_path / 'ctl.toml'
    path.write_text(f"entries = ['{entries['good']}']")
    outcome = run_ctl(f'status --settings {path}', monkeypatch, capsys)
    assert outcome.code == 0


# A file's name and text, exit code, and what is written.
FILES = (
    ('entry.toml', ENTRY, 0, '1 settings files: 0 rejected, 0 wrong'),
    ('agent.toml', AGENT, 0, '1 settings files: 0 rejected, 0 wrong'),
    ('ctl.toml', "entries = ['x']", 1, 'wrong: {path}: entries.0 = "x"'),
    (
        'entry.toml',
        ENTRY.replace(':8100', ':0'),
        1,
        'wrong: {path}: listen.data_address = "127.0.0.1:0": allowed: an IP',
    ),
    ('broken.toml', 'kind = ', 1, 'rejected: broken: $'),
    ('odd.toml', 'kind = "no\x1b"', 1, 'rejected: odd'),
    ('limit.toml', 'kind = "drain-request"', 1, 'rejected: limit'),
)


@pytest.mark.parametrize(('name', 'text', 'code', 'words'), FILES)
def test_check(
    name: str,
    text: str,
    code: int,
    words: str,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / name
    path.write_text(text)
    outcome = run_ctl(f'check {tmp_path}', monkeypatch, capsys)
    assert outcome.code == code, outcome
    assert words.format(path=path) in outcome.output
    assert '\x1b' not in outcome.output


@pytest.mark.parametrize(
    ('content', 'code'),
    [('{"hosts": []}', 0), ('{', 2), ('{"hosts": [{}]}', 2)],
)
def test_hosts(
    content: str,
    code: int,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'hosts.json'
    path.write_text(content)
    arguments = f'check {DOCUMENTS} --hosts {path}'
    assert run_ctl(arguments, monkeypatch, capsys).code == code


def test_light_imports() -> None:
    # Symptom: an operator's command takes seconds on a busy host.
    # Cause: the console imports what only the daemons need.
    heavy = ('eliot', 'opentelemetry', 'prometheus_client', 'zmq', 'numpy')
    code = (
        'import sys, ospreyford.console.ctl;'
        f'sys.exit(str([m for m in {heavy} if m in sys.modules]))'
    )
    ended = subprocess.run(
        [sys.executable, '-c', code],
        env={'PYTHONPATH': f'{ROOT}/src'},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert ended.stderr.strip() == '[]'
