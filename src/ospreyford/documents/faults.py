"""Locates validation errors in a document."""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import Any, NamedTuple, TypeAlias

import msgspec

from ospreyford.documents.errormessages import (
    ANY_KEY,
    ROOT_PATH,
    ParsedMessage,
    Step,
    parse_message,
)
from ospreyford.documents.intents import ZonePreference
from ospreyford.documents.schema import KIND_TAGS, convert_body
from ospreyford.documents.selectors import OPERATORS

MAX_SHOWN_CHARACTERS = 80
MAX_SHOWN_BITS = 64

MISSING_FIELD_PATTERN = re.compile(
    'Object missing required field `(.*)`', re.DOTALL
)
UNKNOWN_FIELD_PATTERN = re.compile(
    'Object contains unknown field `(.*)`', re.DOTALL
)
GOT_TYPE_PATTERN = re.compile(', got `[a-z]+`')
BARE_KEY_PATTERN = re.compile(r'[A-Za-z0-9_-]+')

#: Allowed values of enumerated keys.
CHOICES_BY_KEY = MappingProxyType(
    {
        'kind': KIND_TAGS,
        'operator': OPERATORS,
        'zone_preference': tuple(ZonePreference),
    }
)

Table: TypeAlias = dict[str, Any]


class Fault(NamedTuple):
    """A validation error: path, value found and values allowed."""

    path: str
    found: str
    allowed: str


def locate_fault(table: Table, message: str) -> Fault:
    """Find the location of a validation error.

    :param table: the document as TOML decodes it.
    :param message: the error message of msgspec.
    :returns: the location, with mapping keys resolved.
    """
    try:
        return _locate(table, parse_message(message))
    except (LookupError, TypeError):
        # An unknown key looks like a path that does not exist.
        return Fault(ROOT_PATH, format_value(message), 'the keys of its kind')


def _locate(table: Table, report: ParsedMessage) -> Fault:
    steps: tuple[Step, ...] = ()
    for step in report.steps:
        if step == ANY_KEY:
            step = _find_invalid_key(table, steps)
            table = _restrict_to_key(table, steps, step)
        steps = (*steps, step)
    if report.in_key:
        key = _find_invalid_key(table, steps)
        return Fault(
            _format_path((*steps, key)), repr(key), _format_allowed(report.text)
        )
    return _describe_fault(table, steps, report.text)


def _find_invalid_key(table: Table, steps: tuple[Step, ...]) -> Step:
    for key in _get_value(table, steps):
        try:
            convert_body(_restrict_to_key(table, steps, key))
        except msgspec.ValidationError:
            return str(key)
    return ANY_KEY


def _restrict_to_key(node: Any, steps: tuple[Step, ...], key: Step) -> Any:
    """Copy a document, reducing the mapping at ``steps`` to one key."""
    if not steps:
        return {key: node[key]} if key in node else node
    step, *rest = steps
    cut = _restrict_to_key(node[step], tuple(rest), key)
    if isinstance(step, int):
        return [*node[:step], cut, *node[step + 1 :]]
    return {**node, step: cut}


def _get_value(node: Any, steps: tuple[Step, ...]) -> Any:
    for step in steps:
        node = node[step]
    return node


def _describe_fault(table: Table, steps: tuple[Step, ...], text: str) -> Fault:
    missing = MISSING_FIELD_PATTERN.fullmatch(text)
    if missing:
        path = _format_path((*steps, missing[1]))
        return Fault(path, 'nothing', _format_choices(missing[1], 'a value'))
    unknown = UNKNOWN_FIELD_PATTERN.fullmatch(text)
    if unknown:
        steps = (*steps, unknown[1])
        text = 'no such key'
    found = format_value(_get_value(table, steps))
    last = steps[-1] if steps else ''
    return Fault(
        _format_path(steps), found, _format_choices(last, _format_allowed(text))
    )


def _format_choices(key: Step, otherwise: str) -> str:
    choices = CHOICES_BY_KEY.get(str(key))
    if choices is None:
        return otherwise
    listed = ', '.join(choices)
    return f'one of {listed}'


def _format_allowed(text: str) -> str:
    return GOT_TYPE_PATTERN.sub('', text.removeprefix('Expected '))


def _format_path(steps: tuple[Step, ...]) -> str:
    return ROOT_PATH + ''.join(_format_step(step) for step in steps)


def _format_step(step: Step) -> str:
    if isinstance(step, int):
        return f'[{step}]'
    if step == ANY_KEY:
        return step
    if BARE_KEY_PATTERN.fullmatch(step):
        return f'.{step}'
    return f'[{format_value(step)}]'


def format_value(found: object) -> str:
    """Format a document value on one short line.

    :param found: any value that TOML decodes to.
    :returns: its representation, truncated if long.
    """
    match found:
        case dict():
            return f'a table of {len(found)} keys'
        case list():
            return f'an array of {len(found)} values'
        # Python refuses to format integers of thousands of digits.
        case int() if found.bit_length() > MAX_SHOWN_BITS:
            bits = found.bit_length()
            return f'an integer of {bits} bits'
        case str() if len(found) > MAX_SHOWN_CHARACTERS:
            start = found[:MAX_SHOWN_CHARACTERS]
            return f'{start!r}, cut'
    return repr(found)
