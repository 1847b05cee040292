from __future__ import annotations

import pathlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.settings.errors import SettingsError
from ospreyford.settings.loader import load_settings
from ospreyford.settings.programs import (
    AgentSettings,
    EntrySettings,
    get_max_request_seconds,
)

ENTRY = """
[identity]
name = 'entry-1'
instance = 'i-1'
zone = 'zone-a'
region = 'north'
[listen]
data_address = '127.0.0.1:8100'
admin_address = '127.0.0.1:8101'
peer_address = '127.0.0.1:8102'
[platform]
config_service = '127.0.0.1:9000'
host_list = '127.0.0.1:9001'
"""
AGENT = f"""{ENTRY}
[backend]
address = '127.0.0.1:8200'
service = 'drafting'
kind = 'model'
"""
ADDRESS = (
    'an IP number and a port from 1 to 65535, such as "127.0.0.1:8100" '
    '(no host names)'
)
NAME = (
    '1 to 63 of a-z, 0-9, ".", "_" and "-", '
    'beginning and ending with a letter or a digit'
)
DAY = 'a number above 0 up to 86400'
REQUESTS = (
    'only the keys default_deadline_seconds, max_deadline_seconds, '
    'max_attempts, retry_after_seconds'
)
FINITE = ', finite and not negative'
SECTIONS = (
    'only the keys identity, listen, platform, membership, '
    'distribution, security, http, requests, attempts, routing, limits, '
    'sharing, queue, drain, logs, traces'
)

# Text of a valid file, its replacement, and the error after the file name.
REPLACED = (
    ("'127.0.0.1:8100'", '8100', f'listen.data_address = 8100: {ADDRESS}'),
    (
        '127.0.0.1:8100',
        'localhost:8100',
        f'listen.data_address = "localhost:8100": {ADDRESS}',
    ),
    (
        '127.0.0.1:8100',
        '127.0.0.1:65536',
        f'listen.data_address = "127.0.0.1:65536": {ADDRESS}',
    ),
    (
        '127.0.0.1:8100',
        '127.0.0.1:0',
        f'listen.data_address = "127.0.0.1:0": {ADDRESS}',
    ),
    (
        '127.0.0.1:8100',
        '127.0.0.256:1',
        f'listen.data_address = "127.0.0.256:1": {ADDRESS}',
    ),
    (
        "'127.0.0.1:8100'",
        r'"127.0.0.1:8100\n"',
        rf'listen.data_address = "127.0.0.1:8100\n": {ADDRESS}',
    ),
    (
        '127.0.0.1:8101',
        '127.0.0.1:8100',
        'listen.admin_address = "127.0.0.1:8100": '
        'an address other than listen.data_address',
    ),
    (
        '127.0.0.1:8102',
        '127.0.0.1:8101',
        'listen.peer_address = "127.0.0.1:8101": '
        'an address that no other key of listen has',
    ),
    (
        '127.0.0.1:8102',
        '0.0.0.0:8102',
        'listen.peer_address = "0.0.0.0:8102": '
        'the IP number that other hosts reach this one by',
    ),
    ('entry-1', 'Entry 1', f'identity.name = "Entry 1": {NAME}'),
    ("zone = 'zone-a'\n", '', f'identity.zone = (missing): {NAME}'),
    (
        "region = 'north'",
        "region = 'north'\nrack = '7'",
        'identity.rack = "7": only the keys name, instance, zone, region',
    ),
    (
        "region = 'north'",
        'region = \'north\'\n"a - at `$.b`" = 1',
        'identity.a - at `$.b` = 1: only the keys name, instance, zone, region',
    ),
    (
        '[platform]',
        '[platforms]',
        'platforms = {"config_service": "127.0.0.1:9000", "host_list": '
        f'"127.0.0.1:9001"}}: {SECTIONS}',
    ),
)

# Text added to a valid file, and the error after the file name.
ADDED = (
    (r'"a\u001b[2J\n" = 1', rf'a\x1b[2J\n = 1: {SECTIONS}'),
    ('[requests]\nmax = 1', f'requests.max = 1: {REQUESTS}'),
    (
        "[requests]\nmax_deadline_seconds = '9'",
        f'requests.max_deadline_seconds = "9": {DAY}',
    ),
    (
        '[requests]\nmax_deadline_seconds = nan',
        f'requests.max_deadline_seconds = NaN: {DAY}{FINITE}',
    ),
    (
        '[requests]\nmax_deadline_seconds = inf',
        f'requests.max_deadline_seconds = Infinity: {DAY}{FINITE}',
    ),
    (
        '[requests]\ndefault_deadline_seconds = 0',
        f'requests.default_deadline_seconds = 0: {DAY}',
    ),
    (
        '[requests]\nmax_deadline_seconds = 7',
        'requests.default_deadline_seconds = (default): '
        'at most requests.max_deadline_seconds, 7.0',
    ),
    (
        '[drain]\ndeadline_seconds = 5',
        'drain.deadline_seconds = 5: '
        'at least requests.max_deadline_seconds, 120',
    ),
    (
        "[membership]\nseeds = ['127.0.0.1:1', 'peer:2']",
        f'membership.seeds.1 = "peer:2": {ADDRESS}',
    ),
    (
        "logs = 'no'",
        'logs = "no": a section with only the keys '
        'destination, path, level, max_buffered_lines',
    ),
    (
        "[logs]\nlevel = 'debug'",
        "logs.level = \"debug\": one of 'error', 'info', 'warning'",
    ),
    (
        "[logs]\ndestination = 'file'",
        'logs.path = (default): a path, since destination is "file"',
    ),
    (
        "[logs]\npath = '/tmp/log'",
        'logs.path = "/tmp/log": no path, since destination is "stderr"',
    ),
    (
        '[traces]\nsample_ratio = 1.5',
        'traces.sample_ratio = 1.5: a number from 0 up to 1',
    ),
    (
        '[traces]\nsample_ratio = true',
        'traces.sample_ratio = true: a number from 0 up to 1',
    ),
    (
        '[http]\nhead_bytes = 10',
        'http.head_bytes = 10: an integer from 1024 up to 1048576',
    ),
)

AGENT_ADDED = (
    (
        '[drain]\ndeadline_seconds = 5',
        'drain.deadline_seconds = 5: '
        'at least requests.max_deadline_seconds, 120',
    ),
    (
        '[records]\nretention_seconds = 60',
        'records.retention_seconds = 60: at least '
        'requests.max_deadline_seconds + 2 * records.skew_seconds, 124',
    ),
    (
        '[records]\nskew_seconds = 20',
        'records.tombstone_seconds = (default): at least '
        'requests.max_deadline_seconds + 2 * records.skew_seconds, 160.0',
    ),
    (
        '[requests]\ndefault_deadline_seconds = 121',
        'requests.default_deadline_seconds = 121: '
        'at most requests.max_deadline_seconds, 120',
    ),
    (
        '[records]\nmax_entries = 0',
        'records.max_entries = 0: an integer from 1 up to 10000000',
    ),
    (
        '[records]\nmax_entries = 1.5',
        'records.max_entries = 1.5: an integer from 1 up to 10000000',
    ),
)

# Keys where a zero would make a task spin or never run.
ABOVE_ZERO = (
    *(
        (f'membership.{key}', DAY)
        for key in (
            'period_seconds',
            'probe_timeout',
            'relay_timeout',
            'suspicion_seconds',
            'pause_seconds',
            'forget_seconds',
            'sync_seconds',
        )
    ),
    *(
        (f'distribution.{key}', DAY)
        for key in (
            'rotation_seconds',
            'watch_seconds',
            'role_seconds',
            'backoff_seconds',
            'backoff_limit_seconds',
            'gossip_seconds',
            'digest_seconds',
            'ask_seconds',
            'stale_seconds',
            'bootstrap_seconds',
        )
    ),
    *(
        (f'distribution.{key}', 'a number above 0 up to 1073741824')
        for key in (
            'service_calls_per_second',
            'reader_calls_per_second',
            'push_bytes_per_second',
        )
    ),
    *(
        (f'distribution.{key}', 'an integer from 1 up to 10000000')
        for key in (
            'fleet_size',
            'readers_per_zone',
            'fanout',
            'rumour_offers',
            'bootstrap_peers',
            'cold_start_rounds',
        )
    ),
    ('membership.change_bytes', 'an integer from 1 up to 1073741824'),
    ('distribution.page_bytes', 'an integer from 1 up to 1073741824'),
    ('limits.burst_seconds', 'a number above 0'),
    ('sharing.period_seconds', 'a number above 0'),
    ('queue.max_wait_seconds', 'a number above 0'),
    ('routing.load_decay_seconds', 'a number above 0'),
    ('routing.ejection.base_seconds', 'a number above 0'),
)

UNREADABLE = (
    (b'\xff', '- = (byte 0 is not UTF-8): UTF-8'),
    (b'x' * 1_048_577, '- = (too large): at most 1048576 bytes'),
    (
        b'a = 1\na = 2',
        '- = (Cannot overwrite a value (at end of document)): '
        'well-formed TOML 1.0',
    ),
    (
        b'a = ',
        '- = (Invalid value (at end of document)): well-formed TOML 1.0',
    ),
)


def load_error_line(
    directory: pathlib.Path, content: bytes, kind: type = EntrySettings
) -> str:
    path = directory / 'settings.toml'
    path.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        load_settings(path, kind)
    line = str(caught.value)
    assert line.startswith(f'{path}: ')
    return line[len(f'{path}: ') :].replace('allowed: ', '', 1)


@pytest.mark.parametrize(('before', 'after', 'line'), REPLACED)
def test_replaced_text_is_refused(
    tmp_path: pathlib.Path, before: str, after: str, line: str
) -> None:
    assert before in ENTRY
    text = ENTRY.replace(before, after)
    assert load_error_line(tmp_path, text.encode()) == line


@pytest.mark.parametrize(('added', 'line'), ADDED)
def test_added_text_is_refused(
    tmp_path: pathlib.Path, added: str, line: str
) -> None:
    text = f'{added}\n{ENTRY}'
    assert load_error_line(tmp_path, text.encode()) == line


@pytest.mark.parametrize(('found', 'also'), [('0', ''), ('-1', FINITE)])
@pytest.mark.parametrize(('path', 'allowed'), ABOVE_ZERO)
def test_zero_and_negative_values_are_refused(
    tmp_path: pathlib.Path, path: str, allowed: str, found: str, also: str
) -> None:
    """An interval of zero would make a periodic task spin."""
    section, _, key = path.rpartition('.')
    text = f'[{section}]\n{key} = {found}\n{ENTRY}'
    line = f'{path} = {found}: {allowed}{also}'
    assert load_error_line(tmp_path, text.encode()) == line


@pytest.mark.parametrize(('added', 'line'), AGENT_ADDED)
def test_invalid_agent_settings_are_refused(
    tmp_path: pathlib.Path, added: str, line: str
) -> None:
    text = f'{added}\n{AGENT}'
    assert load_error_line(tmp_path, text.encode(), AgentSettings) == line


@pytest.mark.parametrize(('content', 'line'), UNREADABLE)
def test_unreadable_file_is_refused(
    tmp_path: pathlib.Path, content: bytes, line: str
) -> None:
    assert load_error_line(tmp_path, content) == line


def test_agent_address_is_refused_as_backend(tmp_path: pathlib.Path) -> None:
    # The agent would forward requests to itself.
    content = AGENT.replace('127.0.0.1:8200', '127.0.0.1:8100').encode()
    line = load_error_line(tmp_path, content, AgentSettings)
    assert line == (
        'backend.address = "127.0.0.1:8100": '
        'an address that is not under listen'
    )


def test_deep_nesting_is_refused(tmp_path: pathlib.Path) -> None:
    # The TOML parser's RecursionError must be reported as a settings error.
    line = load_error_line(tmp_path, b'a = %b' % (b'[' * 20_000))
    assert line.startswith('- = (maximum recursion depth exceeded')
    assert '\n' not in line


@pytest.mark.parametrize('path', ['/nonexistent/entry.toml', '/', 'a\0b'])
def test_missing_file_is_refused(path: str) -> None:
    with pytest.raises(SettingsError) as caught:
        load_settings(path, EntrySettings)
    assert str(caught.value).endswith(': allowed: a readable file')


def test_defaults_are_consistent(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'agent.toml'
    path.write_text(AGENT)
    loaded = load_settings(path, AgentSettings)
    assert loaded.backend.kind == 'model'
    assert loaded.drain.deadline_seconds >= get_max_request_seconds(
        loaded.requests
    )


TOML_VALUES = st.recursive(
    st.one_of(
        st.integers(),
        st.floats(),
        st.booleans(),
        st.text(st.characters(exclude_categories=['Cs', 'Cc']), max_size=20),
    ),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=5,
)


def write_value(found: object) -> str:
    match found:
        case bool():
            return str(found).lower()
        case str():
            escaped = found.replace('\\', r'\\').replace('"', r'\"')
            return f'"{escaped}"'
        case list():
            listed = ', '.join(map(write_value, found))
            return f'[{listed}]'
        case _:
            return repr(found)


@settings(max_examples=150, derandomize=True)
@given(
    section=st.sampled_from(
        ['http', 'requests', 'membership', 'logs', 'x`$.y']
    ),
    key=st.sampled_from(['head_bytes', 'max_deadline_seconds', 'seeds', '`']),
    found=TOML_VALUES,
)
def test_any_value_is_loaded_or_refused(
    tmp_path_factory: pytest.TempPathFactory,
    section: str,
    key: str,
    found: object,
) -> None:
    text = f'{ENTRY}\n["{section}"]\n"{key}" = {write_value(found)}\n'
    path = tmp_path_factory.getbasetemp() / 'any.toml'
    path.write_text(text)
    try:
        loaded = load_settings(path, EntrySettings)
    except SettingsError as error:
        assert len(str(error).splitlines()) == 1
        assert key in error.key or section in error.key
    else:
        assert 1024 <= loaded.http.head_bytes <= 1_048_576


@settings(max_examples=150, derandomize=True)
@given(content=st.binary(max_size=200))
def test_any_bytes_are_refused(
    tmp_path_factory: pytest.TempPathFactory, content: bytes
) -> None:
    path = tmp_path_factory.getbasetemp() / 'any.toml'
    path.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        load_settings(path, EntrySettings)
    assert len(str(caught.value).splitlines()) == 1


class LooseSection(msgspec.Struct, frozen=True):
    """A section declared without ``forbid_unknown_fields``."""

    seconds: float = 1

    def __post_init__(self) -> None:
        if self.seconds > 9:
            raise ValueError('seconds up to 9')


class Composed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    loose: LooseSection = LooseSection()


LOOSE = (
    ('second = 2', 'loose.second = 2: only the keys seconds'),
    ("seconds = '2'", 'loose.seconds = "2": a number'),
    ('seconds = -1', f'loose.seconds = -1: a number{FINITE}'),
    ('seconds = inf', f'loose.seconds = Infinity: a number{FINITE}'),
    ('seconds = 10', 'loose = {"seconds": 10}: seconds up to 9'),
)


@pytest.mark.parametrize(('added', 'line'), LOOSE)
def test_unknown_key_of_loose_section_is_refused(
    tmp_path: pathlib.Path, added: str, line: str
) -> None:
    # A misspelled key must not be ignored.
    content = f'[loose]\n{added}'.encode()
    assert load_error_line(tmp_path, content, Composed) == line
