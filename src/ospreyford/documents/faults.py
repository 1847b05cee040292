"""Where in a document a fault is, what stands there and what may."""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import Any, NamedTuple, TypeAlias

import msgspec

from ospreyford.documents.intents import ZonePreference
from ospreyford.documents.messages import (
    ANY_KEY,
    ROOT,
    FaultReport,
    Step,
    read_report,
)
from ospreyford.documents.schema import KINDS, convert_body
from ospreyford.documents.selectors import OPERATORS

MAX_SHOWN = 80
MAX_SHOWN_BITS = 64

MISSING = re.compile('Object missing required field `(.*)`', re.DOTALL)
UNKNOWN = re.compile('Object contains unknown field `(.*)`', re.DOTALL)
GOT = re.compile(', got `[a-z]+`')
BARE_KEY = re.compile(r'[A-Za-z0-9_-]+')

#: Keys that take one of a few words.
CHOICES = MappingProxyType(
    {
        'kind': KINDS,
        'operator': OPERATORS,
        'zone_preference': tuple(ZonePreference),
    }
)

Table: TypeAlias = dict[str, Any]


class Fault(NamedTuple):
    """One fault: its place, the value found there and what is allowed."""

    path: str
    found: str
    allowed: str


def locate_fault(table: Table, message: str) -> Fault:
    """Find the place that a validation error speaks of.

    :param table: the document as TOML decodes it.
    :param message: what msgspec says of it.
    :returns: the place, with the keys of mappings filled in.
    """
    try:
        return _locate(table, read_report(message))
    except (LookupError, TypeError):
        # An unknown key that imitates a path: no such place is there.
        return Fault(ROOT, show(message), 'the keys of its kind')


def _locate(table: Table, report: FaultReport) -> Fault:
    steps: tuple[Step, ...] = ()
    for step in report.steps:
        if step == ANY_KEY:
            step = _find_culprit(table, steps)
            table = _keep_only(table, steps, step)
        steps = (*steps, step)
    if report.in_key:
        key = _find_culprit(table, steps)
        return Fault(_render((*steps, key)), repr(key), _allow(report.text))
    return _describe(table, steps, report.text)


def _find_culprit(table: Table, steps: tuple[Step, ...]) -> Step:
    for key in _look_up(table, steps):
        try:
            convert_body(_keep_only(table, steps, key))
        except msgspec.ValidationError:
            return str(key)
    return ANY_KEY


def _keep_only(node: Any, steps: tuple[Step, ...], key: Step) -> Any:
    """Copy a document with one mapping in it cut down to one key."""
    if not steps:
        return {key: node[key]} if key in node else node
    step, *rest = steps
    cut = _keep_only(node[step], tuple(rest), key)
    if isinstance(step, int):
        return [*node[:step], cut, *node[step + 1 :]]
    return {**node, step: cut}


def _look_up(node: Any, steps: tuple[Step, ...]) -> Any:
    for step in steps:
        node = node[step]
    return node


def _describe(table: Table, steps: tuple[Step, ...], text: str) -> Fault:
    missing = MISSING.fullmatch(text)
    if missing:
        path = _render((*steps, missing[1]))
        return Fault(path, 'nothing', _allow_choice(missing[1], 'a value'))
    unknown = UNKNOWN.fullmatch(text)
    if unknown:
        steps = (*steps, unknown[1])
        text = 'no such key'
    found = show(_look_up(table, steps))
    last = steps[-1] if steps else ''
    return Fault(_render(steps), found, _allow_choice(last, _allow(text)))


def _allow_choice(key: Step, otherwise: str) -> str:
    choices = CHOICES.get(str(key))
    if choices is None:
        return otherwise
    listed = ', '.join(choices)
    return f'one of {listed}'


def _allow(text: str) -> str:
    return GOT.sub('', text.removeprefix('Expected '))


def _render(steps: tuple[Step, ...]) -> str:
    return ROOT + ''.join(_render_step(step) for step in steps)


def _render_step(step: Step) -> str:
    if isinstance(step, int):
        return f'[{step}]'
    if step == ANY_KEY:
        return step
    if BARE_KEY.fullmatch(step):
        return f'.{step}'
    return f'[{show(step)}]'


def show(found: object) -> str:
    """Show a value of a document, however large, in one short line.

    :param found: any value that TOML decodes to.
    :returns: its text, cut where it is long.
    """
    match found:
        case dict():
            return f'a table of {len(found)} keys'
        case list():
            return f'an array of {len(found)} values'
        # Python refuses to write out integers of thousands of digits.
        case int() if found.bit_length() > MAX_SHOWN_BITS:
            bits = found.bit_length()
            return f'an integer of {bits} bits'
        case str() if len(found) > MAX_SHOWN:
            start = found[:MAX_SHOWN]
            return f'{start!r}, cut'
    return repr(found)
