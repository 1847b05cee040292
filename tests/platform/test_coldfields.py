"""Numbers about cold replicas in records and settings."""

from __future__ import annotations

from types import MappingProxyType
from typing import Any

import msgspec
import pytest

from ospreyford.platform.errors import BadNodeFile, BadRecord
from ospreyford.platform.nodefile import parse_node
from ospreyford.platform.records import decode_catalog, decode_registration
from tests.platform.storefake import make_config
from tests.platform.test_records import NODE

Number = float | None
#: Stored value, the quantity read, and whether a line is due.
STORED: tuple[tuple[Any, Number, bool], ...] = (
    (None, None, False),
    (0, 0, False),
    (1500, 1500, False),
    (2.5, 2.5, False),
    (-1, None, True),
    (1e9, 1e9, False),
    (1e10, None, True),
    ('3000', None, True),
    (True, None, True),
    ([1], None, True),
    ({'a': 1}, None, True),
)
REGISTRATION = MappingProxyType(
    {
        'Service': 's',
        'Address': '10.0.0.1:80',
        'Zone': 'a',
        'State': 'ready',
    }
)


@pytest.mark.parametrize(('stored', 'number', 'has_line'), STORED)
def test_registrations_of_other_programs_are_refused(
    stored: Any, number: Number, *, has_line: bool
) -> None:
    """A registration with a field of another type names no backend."""
    raw = msgspec.json.encode({**REGISTRATION, 'ColdRemainingMs': stored})
    if has_line:
        with pytest.raises(BadRecord):
            decode_registration('servers/i-1', raw, 1)
        return
    server = decode_registration('servers/i-1', raw, 1)
    expected = None if number is None else number / 1000
    assert server.cold_seconds == expected


@pytest.mark.parametrize(('stored', 'number', 'has_line'), STORED)
def test_a_configuration_stays_usable(
    stored: Any, number: Number, *, has_line: bool
) -> None:
    """A negative rate of one service must not void the configuration."""
    fields = {'Name': 's', 'MaxConnections': 9, 'ColdPerS': stored}
    raw = make_config(3, Services=[{**fields, 'ColdStartS': 3}])
    service = decode_catalog(raw).services['s']
    assert service.cold_rate == (number or None)
    assert service.cold_seconds == 3
    assert bool(service.problems) == has_line


@pytest.mark.parametrize(
    ('lines', 'overage', 'slack'),
    [
        ('', 1.5, 5),
        ('Bounds.ColdOverage=1.2\nBounds.ColdSlack=0', 1.2, 0),
    ],
)
def test_bounds_are_read(lines: str, overage: float, slack: float) -> None:
    node = parse_node('f', f'{NODE}\n{lines}')
    assert (node.cold_overage, node.cold_slack) == (overage, slack)


def test_a_negative_bound_is_refused() -> None:
    with pytest.raises(BadNodeFile):
        parse_node('f', f'{NODE}\nBounds.ColdOverage=-1')


@pytest.mark.parametrize('digits', ['9' * 400, '9' * 5000, '1e999', 'NaN'])
def test_numbers_beyond_all_bounds_are_refused(digits: str) -> None:
    """One such registration would stop the reader of the store."""
    fields = msgspec.json.encode({**REGISTRATION}).decode()
    raw = f'{fields[:-1]},"ColdRemainingMs":{digits}}}'
    with pytest.raises(BadRecord):
        decode_registration('servers/i-1', raw.encode(), 1)
