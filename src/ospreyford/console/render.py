"""Answers as text for people or as JSON for programs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import msgspec
from tabulate import tabulate

from ospreyford.observability.plain import make_plain
from ospreyford.settings.errors import escape_unprintable

INDENT = '  '
MILLISECOND_NS = 1_000_000

_SCALARS = (str, int, float, type(None))


def render_json(found: object) -> str:
    """Write an answer for a program.

    :param found: anything that :func:`make_plain` takes.
    :returns: one JSON document, indented.
    """
    encoded = msgspec.json.encode(make_plain(found))
    return msgspec.json.format(encoded, indent=2).decode()


def render_text(found: object) -> str:
    """Write an answer for a person.

    :param found: anything that :func:`make_plain` takes.
    :returns: lines of keys and values; lists of like rows become tables.
    """
    return '\n'.join(_render(make_plain(found), ''))


def render_trace(spans: Iterable[Mapping[str, Any]]) -> str:
    """Write the hops of a request.

    :param spans: as ``/traces`` gives them, by start.
    :returns: one line a hop, times in milliseconds since the first.
    """
    listed = list(spans)
    first = min(span['start_ns'] for span in listed)
    rows = [
        {
            'hop': escape_unprintable(str(span['hop'])),
            'host': escape_unprintable(str(span['host'])),
            'start ms': (span['start_ns'] - first) / MILLISECOND_NS,
            'took ms': (span['end_ns'] - span['start_ns']) / MILLISECOND_NS,
            'outcome': escape_unprintable(str(span['outcome'])),
        }
        for span in listed
    ]
    return tabulate(rows, headers='keys', floatfmt='.3f')


def _render(found: Any, indent: str) -> Iterator[str]:
    match found:
        case dict():
            for key, inner in found.items():
                yield from _render_entry(str(key), inner, indent)
        case list() if _is_table(found):
            table = tabulate(_printable_rows(found), headers='keys')
            for line in table.splitlines():
                yield f'{indent}{line}'
        case list():
            for inner in found:
                yield from _render_item(inner, indent)
        case _:
            yield f'{indent}{_show(found)}'


def _render_entry(key: str, inner: Any, indent: str) -> Iterator[str]:
    name = escape_unprintable(key)
    if isinstance(inner, _SCALARS):
        yield f'{indent}{name}: {_show(inner)}'
    elif inner:
        yield f'{indent}{name}:'
        yield from _render(inner, f'{indent}{INDENT}')
    else:
        yield f'{indent}{name}: none'


def _render_item(inner: Any, indent: str) -> Iterator[str]:
    lines = list(_render(inner, ''))
    for number, line in enumerate(lines):
        mark = INDENT if number else '- '
        yield f'{indent}{mark}{line}'


def _is_table(rows: list[Any]) -> bool:
    return all(
        isinstance(row, dict)
        and row.keys() == rows[0].keys()
        and all(_is_cell(cell) for cell in row.values())
        for row in rows
    )


def _is_cell(found: object) -> bool:
    if isinstance(found, list):
        return all(isinstance(inner, _SCALARS) for inner in found)
    return isinstance(found, _SCALARS)


def _printable_rows(rows: list[Any]) -> list[dict[str, str]]:
    return [
        {escape_unprintable(key): _show(cell) for key, cell in row.items()}
        for row in rows
    ]


def _show(found: object) -> str:
    match found:
        case None:
            return 'none'
        case list():
            return ', '.join(map(_show, found))
        case _:
            return escape_unprintable(str(found))
