"""Reading a settings file into a checked, frozen object."""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import msgspec

from ospreyford.settings.allowed import (
    describe_fields,
    describe_type,
    find_type,
    find_unknown,
)
from ospreyford.settings.errors import (
    MISSING,
    KeyConflict,
    SettingsError,
    show_value,
)

Settings = TypeVar('Settings')

MAX_FILE_BYTES = 1_048_576
WHOLE_FILE = '-'

_PLACE = re.compile(r' - at `\$\.?([^`]*)`\Z')
_STEP = re.compile(r'[^.\[\]]+')
_ABSENT = re.compile('Object missing required field `([^`]*)`')


class _Source(NamedTuple):
    path: str
    kind: type
    raw: Mapping[str, Any]


def load_settings(path: str | Path, kind: type[Settings]) -> Settings:
    """Read and check a settings file.

    :param path: the TOML file.
    :param kind: a frozen ``msgspec.Struct`` that forbids unknown fields; each
        section is a field of such a type.
    :returns: the settings.
    :raises SettingsError: unreadable, not TOML, or a key that is unknown,
        missing or wrong, alone or beside another.
    """
    raw = _parse(str(path), _read(path))
    source = _Source(str(path), kind, raw)
    unknown = find_unknown(find_type(kind, []), raw)
    if unknown is not None:
        raise _explain_unknown(source, *unknown)
    _check_numbers(source, raw, [])
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise _explain(error, source) from None


def _read(path: str | Path) -> bytes:
    try:
        with Path(path).open('rb') as stream:
            content = stream.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        raise SettingsError(
            str(path), WHOLE_FILE, f'({reason})', 'a readable file'
        ) from None
    if len(content) > MAX_FILE_BYTES:
        raise SettingsError(
            str(path),
            WHOLE_FILE,
            '(too large)',
            f'at most {MAX_FILE_BYTES} bytes',
        )
    return content


def _parse(path: str, content: bytes) -> dict[str, Any]:
    try:
        return tomllib.loads(content.decode())
    except UnicodeDecodeError as error:
        shown = f'(byte {error.start} is not UTF-8)'
        raise SettingsError(path, WHOLE_FILE, shown, 'UTF-8') from None
    # Brackets nested some thousand deep exhaust the parser's stack.
    except (ValueError, RecursionError) as error:
        raise SettingsError(
            path, WHOLE_FILE, f'({error})', 'well-formed TOML 1.0'
        ) from None


def _check_numbers(source: _Source, found: object, steps: list[str]) -> None:
    """Refuse what no setting can mean, whether its type has bounds or not.

    :raises SettingsError: a number that is negative or not finite.
    """
    # A negative or endless interval in a section whose type has no bounds
    # would start a task that spins or never runs.
    match found:
        case float() | int() if not 0 <= found < math.inf:
            known = describe_type(find_type(source.kind, steps))
            raise SettingsError(
                source.path,
                _join(steps),
                show_value(found),
                f'{known}, finite and not negative',
            )
        case dict():
            for key, inner in found.items():
                _check_numbers(source, inner, [*steps, key])


def _explain(error: msgspec.ValidationError, source: _Source) -> SettingsError:
    message = str(error)
    place = _PLACE.search(message)
    steps = _STEP.findall(place.group(1)) if place else []
    cause = error.__cause__
    match cause:
        case KeyConflict():
            return _explain_conflict(cause, source, steps)
        case ValueError():
            return SettingsError(
                source.path,
                _join(steps),
                show_value(_look_up(source.raw, steps)),
                str(cause),
            )
    absent = _ABSENT.match(message)
    if absent:
        steps = [*steps, absent.group(1)]
    return SettingsError(
        source.path,
        _join(steps),
        MISSING if absent else show_value(_look_up(source.raw, steps)),
        describe_type(find_type(source.kind, steps)),
    )


def _explain_unknown(
    source: _Source, steps: list[str], key: str
) -> SettingsError:
    return SettingsError(
        source.path,
        _join([*steps, key]),
        show_value(_look_up(source.raw, [*steps, key])),
        describe_fields(find_type(source.kind, steps)),
    )


def _explain_conflict(
    conflict: KeyConflict, source: _Source, steps: list[str]
) -> SettingsError:
    full = [*steps, *conflict.key.split('.')]
    try:
        shown = show_value(_look_up(source.raw, full))
    except LookupError:
        shown = '(default)'
    return SettingsError(source.path, _join(full), shown, conflict.allowed)


def _look_up(raw: Any, steps: Sequence[str]) -> Any:
    found = raw
    for step in steps:
        match found:
            case Mapping():
                found = found[step]
            case list():
                found = found[int(step)]
    return found


def _join(steps: Sequence[str]) -> str:
    return '.'.join(steps) or WHOLE_FILE
