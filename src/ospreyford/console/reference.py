"""The settings' reference for ``docs/OPERATIONS.md``.

``python -m ospreyford.console.reference`` prints it: a table for each section
with keys, defaults and meanings, taken from the types and their docstrings.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Iterator
from inspect import getdoc
from typing import Any

from msgspec import inspect

from ospreyford.settings.constraints import describe_type
from ospreyford.settings.programs import AgentSettings, EntrySettings

TABLE_HEAD = '| key | default | allowed | meaning |\n|---|---|---|---|'

_PARAMETER = re.compile(r':param (\w+):\s*(.*?)(?=\n:param|\Z)', re.DOTALL)
_ROLE = re.compile(':[a-z]+:`~?([^`]*)`')


def write_reference() -> str:
    """Write the tables of all sections.

    :returns: Markdown.
    """
    entry, agent = map(_list_sections, (EntrySettings, AgentSettings))
    return '\n'.join(
        line
        # The order of both; where a section differs, an entry's has more.
        for name, kind in {**entry, **agent, **entry}.items()
        for line in _write_section(name, kind, _name_users(name, entry, agent))
    )


def _list_sections(kind: type) -> dict[str, inspect.StructType]:
    found = inspect.type_info(kind)
    return {
        field.encode_name: field.type
        for field in _fields_of(found)
        if isinstance(field.type, inspect.StructType)
    }


def _name_users(name: str, entry: object, agent: object) -> str:
    users = {'entry': entry, 'agent': agent}
    return ' and '.join(
        user
        for user, sections in users.items()
        if isinstance(sections, dict) and name in sections
    )


def _write_section(
    name: str, kind: inspect.StructType, users: str
) -> Iterator[str]:
    yield f'#### `[{name}]` ({users})\n'
    yield TABLE_HEAD
    yield from _write_rows(name, kind)
    yield ''


def _write_rows(path: str, kind: inspect.StructType) -> Iterator[str]:
    meanings = _read_meanings(kind.cls)
    for field in kind.fields:
        key = f'{path}.{field.encode_name}'
        if isinstance(field.type, inspect.StructType):
            yield from _write_rows(key, field.type)
            continue
        cells = (
            f'`{key}`',
            _write_default(field),
            describe_type(field.type),
            meanings.get(field.encode_name, ''),
        )
        row = ' | '.join(cells)
        yield f'| {row} |'


def _read_meanings(kind: type) -> dict[str, str]:
    found = _PARAMETER.findall(getdoc(kind) or '')
    return {name: _tidy(text) for name, text in found}


def _tidy(text: str) -> str:
    joined = _ROLE.sub(r'\1', ' '.join(text.split()))
    return joined.replace('``', '`').replace('|', r'\|').rstrip('.')


def _write_default(field: inspect.Field) -> str:
    if field.required:
        return 'required'
    default: Any = field.default
    match default:
        case None:
            return 'none'
        case ():
            return '[]'
        case float():
            return format(default, 'g')
        case _:
            return str(default)


def _fields_of(kind: inspect.Type) -> tuple[inspect.Field, ...]:
    return kind.fields if isinstance(kind, inspect.StructType) else ()


if __name__ == '__main__':
    sys.stdout.write(write_reference())
