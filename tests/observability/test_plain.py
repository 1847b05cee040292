from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

import msgspec
import pytest

from ospreyford.observability.plain import make_plain


class Colour(StrEnum):
    red = 'r'


class Pair(NamedTuple):
    left: object
    right: object


@dataclass(frozen=True)
class Lost:
    to: str


class Table(msgspec.Struct):
    row: object


class Tagged(msgspec.Struct, tag_field='operator', tag='in'):
    label: str


CASES = (
    (Tagged('a'), {'operator': 'in', 'label': 'a'}),
    (Pair(1, Lost('b')), {'left': 1, 'right': {'kind': 'Lost', 'to': 'b'}}),
    (Table((Colour.red, 2.5)), {'row': ['r', 2.5]}),
    ({Colour.red: None}, {'r': None}),
    ({'b', 'a'}, ['a', 'b']),
    (b'x', "b'x'"),
    (True, True),
)


@pytest.mark.parametrize(('found', 'plain'), CASES)
def test_plain(found: object, plain: object) -> None:
    assert make_plain(found) == plain
    assert msgspec.json.encode(make_plain(found))
