from __future__ import annotations

from types import MappingProxyType
from typing import Any, Final

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.direct.catalog import RetryMode, find_route
from ospreyford.http.buffers import (
    DEFAULT_BUFFER_BYTES,
    DEFAULT_REQUEST_BYTES,
)
from ospreyford.platform.entry import make_settings
from ospreyford.platform.errors import BadNodeFile, BadRecord
from ospreyford.platform.nodefile import parse_node
from ospreyford.platform.records import decode_catalog, decode_registration
from tests.platform.storefake import make_config, make_registration

NODE = """
NodeName=agent-1
Ip=10.1.0.42
Zone=zone-a
Region=here
PortRange=7340,7355
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.FailClosed=true
Bounds.RevokeMs=5000
Bounds.RetryBudgetRatio=0.2
Bounds.RetryWindowS=10
Bounds.BudgetSlack=90
app=10.9.0.2:9100
Service=plain-service
Platform.Address=10.9.0.1:9000
Unknown.Key=ignored
a line without a mark
"""
SCALARS = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text()
)


def nest(inner: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    return st.lists(inner) | st.dictionaries(st.text(), inner)


JSON = st.recursive(SCALARS, nest, max_leaves=12)


def test_catalog_is_decoded() -> None:
    catalog = decode_catalog(make_config(3))
    assert catalog.version == 3
    route = find_route(catalog, 'host.example', '/a/x')
    assert route is not None
    assert route.retry_mode is RetryMode.resumable
    times = (route.timeout, route.objective, route.max_gap)
    assert times == (8, 0.5, 0.12)
    assert [split.weight for split in route.splits] == [90, 10]
    inner = find_route(catalog, 'host.example', '/a/b/x')
    assert inner is not None
    assert inner.retry_mode is RetryMode.once


def test_engine_and_customers_are_decoded() -> None:
    catalog = decode_catalog(make_config(3))
    engine = catalog.services['s1'].engine
    assert engine is not None
    assert engine.copy_seconds == pytest.approx(0.1)
    assert engine.pass_seconds == pytest.approx(0.018)
    assert catalog.customers is not None
    assert catalog.customers['k2'].name == 't1'


ENTRY_LINES = 'Listen.Front=10.9.0.2:80\nListen.Ready=10.9.0.2:81'


@pytest.mark.parametrize(
    ('path', 'name'),
    [('/a/', 'r1'), ('/a/b/', 'r2'), ('/a/b', 'r1'), ('/a', None)],
)
def test_longest_prefix_matches(path: str, name: str | None) -> None:
    route = find_route(decode_catalog(make_config(3)), 'host.example', path)
    assert (route and route.name) == name


@pytest.mark.parametrize(
    'changed',
    [
        {'Version': 'x'},
        {'Routes': None},
        {'Limits': {}},
        {'Routes': [{'Name': 'r'}]},
        {'Tenants': 3},
        {
            'Routes': [
                {
                    'Name': 'r',
                    'Host': 'h',
                    'Prefix': '/',
                    'RouteType': 'new',
                    'TimeoutMs': 1,
                }
            ]
        },
    ],
)
def test_invalid_catalog_is_refused(changed: dict[str, Any]) -> None:
    with pytest.raises(BadRecord):
        decode_catalog(make_config(3, **changed))


@settings(derandomize=True, deadline=None)
@given(st.binary() | JSON.map(msgspec.json.encode))
def test_any_record_is_decoded_or_refused(raw: bytes) -> None:
    with pytest.raises(BadRecord):
        decode_catalog(raw)
    with pytest.raises(BadRecord):
        decode_registration('servers/x', raw, 1)


@pytest.mark.parametrize(
    ('state', 'draining'), [('ready', False), ('draining', True)]
)
def test_registration_is_decoded(state: str, *, draining: bool) -> None:
    server = decode_registration('servers/i-1', make_registration(state), 7)
    assert server.id == 'i-1'
    assert server.is_draining is draining
    assert (server.host, server.port) == ('127.0.0.1', 9000)


#: Invalid fields of a registration by test id.
INVALID_FIELDS: Final = MappingProxyType(
    {
        'state-unknown': {'State': 'new-state'},
        'state-missing': {'State': None},
        'service-number': {'Service': 5},
        'service-empty': {'Service': ''},
        'address-list': {'Address': ['127.0.0.1', 9000]},
        'address-name': {'Address': 'host.example:9000'},
        'address-digits': {'Address': '127.0.0.1:\u0663'},
        'port-negative': {'Address': '127.0.0.1:-1'},
        'port-huge': {'Address': '127.0.0.1:99999999999'},
        'zone-boolean': {'Zone': True},
        'slots-negative': {'Slots': -6},
        'slots-none': {'Slots': 0},
        'slots-huge': {'Slots': 10**30},
        'slots-text': {'Slots': '6'},
        'slots-fraction': {'Slots': 0.5},
        'born-text': {'born': '1774742941480'},
        'born-fraction': {'born': 1774742941480.5},
        'born-negative': {'born': -1},
        'born-huge': {'born': 10**25},
        'born-null': {'born': None},
    }
)


@pytest.mark.parametrize('changed', INVALID_FIELDS.values(), ids=INVALID_FIELDS)
def test_invalid_registration_is_refused(
    changed: dict[str, Any],
) -> None:
    """Invalid registrations of other programs must not receive requests."""
    raw = msgspec.json.encode(
        {
            **msgspec.json.decode(make_registration()),
            **changed,
        }
    )
    with pytest.raises(BadRecord):
        decode_registration('servers/i-1', raw, 1)


@pytest.mark.parametrize('field', ['Service', 'Address', 'Zone', 'State'])
def test_registration_without_a_field_is_refused(field: str) -> None:
    fields = msgspec.json.decode(make_registration())
    fields.pop(field)
    with pytest.raises(BadRecord):
        decode_registration('servers/i-1', msgspec.json.encode(fields), 1)


@pytest.mark.parametrize(
    'key', ['servers/', 'servers/a b', 'servers/a\r\nX: y', 'servers/\u00e9']
)
def test_id_that_no_header_can_carry_is_refused(key: str) -> None:
    with pytest.raises(BadRecord):
        decode_registration(key, make_registration(), 1)


def test_deeply_nested_bytes_are_refused() -> None:
    nested = b'{"Service":%s' % (b'[' * 100_000)
    with pytest.raises(BadRecord):
        decode_registration('servers/i-1', nested, 1)
    with pytest.raises(BadRecord):
        decode_catalog(nested)


@settings(derandomize=True, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from(
            ('Service', 'Address', 'Zone', 'State', 'Slots', 'born')
        ),
        JSON,
    )
)
def test_a_registration_is_usable_or_refused(changed: dict[str, Any]) -> None:
    fields = {**msgspec.json.decode(make_registration()), **changed}
    raw = msgspec.json.encode(fields)
    try:
        server = decode_registration('servers/i-1', raw, 1)
    except BadRecord as error:
        assert error.reason
        return
    assert server.service
    assert server.slots > 0
    assert server.started_ms >= 0
    assert 0 < server.port < 65536


def test_registration_start_time_is_decoded() -> None:
    raw = make_registration(born=1774742941480)
    assert (
        decode_registration('servers/i-1', raw, 7).started_ms == 1774742941480
    )
    assert (
        decode_registration('servers/i-1', make_registration(), 7).started_ms
        == 0
    )


def test_node_file_is_decoded() -> None:
    node = parse_node('f', NODE)
    assert node.backend == ('10.9.0.2', 9100)
    assert node.revoke_seconds == 5
    assert node.first_port == 7340
    assert node.front is None


@pytest.mark.parametrize(
    ('line', 'key'),
    [
        ('NodeName=', 'NodeName'),
        ('Bounds.DrainMs=soon', 'Bounds.DrainMs'),
        ('Bounds.GraceS=-1', 'Bounds.GraceS'),
        ('Bounds.RetryWindowS=inf', 'Bounds.RetryWindowS'),
        ('Platform.Address=10.0.0.1', 'Platform.Address'),
        ('Platform.Address=10.0.0.1:99999', 'Platform.Address'),
        ('app=x:y', 'app'),
        ('PortRange=a,b', 'PortRange'),
    ],
)
def test_error_names_the_invalid_key(line: str, key: str) -> None:
    with pytest.raises(BadNodeFile) as caught:
        parse_node('f', f'{NODE}\n{line}')
    assert caught.value.key == key


@settings(derandomize=True, deadline=None)
@given(st.text(), st.sampled_from(NODE.split('\n')))
def test_any_node_file_is_decoded_or_refused(text: str, dropped: str) -> None:
    content = NODE.replace(dropped, text)
    try:
        parse_node('f', content)
    except BadNodeFile as error:
        assert error.reason


@pytest.mark.parametrize(
    ('line', 'expected'),
    [
        ('', (DEFAULT_BUFFER_BYTES, DEFAULT_REQUEST_BYTES)),
        ('Limits.MemoryMb=300', (3_145_728, 31_457_280)),
        ('Limits.MemoryMb=4000', (41_943_040, 419_430_400)),
        ('Limits.MemoryMb=20', (1_048_576, 2_097_152)),
    ],
)
def test_unfinished_messages_get_part_of_the_memory(
    line: str, expected: tuple[int, int]
) -> None:
    """Unfinished messages were limited by nothing."""
    node = parse_node('f', f'{NODE}\n{ENTRY_LINES}\n{line}')
    made = make_settings(node)
    assert (made.buffer_bytes, made.request_bytes) == expected
