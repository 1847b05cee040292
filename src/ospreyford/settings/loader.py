"""Loader and validator of TOML settings files."""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import msgspec

from ospreyford.settings.constraints import (
    describe_fields,
    describe_type,
    find_type,
    find_unknown_key,
)
from ospreyford.settings.errors import (
    MISSING,
    KeyConflict,
    SettingsError,
    format_value,
)

Settings = TypeVar('Settings')

MAX_FILE_BYTES = 1_048_576
WHOLE_FILE = '-'

_LOCATION = re.compile(r' - at `\$\.?([^`]*)`\Z')
_PATH_STEP = re.compile(r'[^.\[\]]+')
_MISSING_FIELD = re.compile('Object missing required field `([^`]*)`')


class _Source(NamedTuple):
    path: str
    kind: type
    raw: Mapping[str, Any]


def load_settings(path: str | Path, kind: type[Settings]) -> Settings:
    """Read and validate a settings file.

    :param path: the TOML file.
    :param kind: a frozen ``msgspec.Struct`` that forbids unknown fields; each
        section is a field of such a type.
    :returns: the settings.
    :raises SettingsError: the file is unreadable or not TOML, or a key is
        unknown, missing, invalid or in conflict with another.
    """
    raw = _parse(str(path), _read(path))
    source = _Source(str(path), kind, raw)
    unknown = find_unknown_key(find_type(kind, []), raw)
    if unknown is not None:
        raise _make_unknown_key_error(source, *unknown)
    _check_numbers(source, raw, [])
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise _make_error(error, source) from None


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
    # Deeply nested brackets exceed the recursion limit.
    except (ValueError, RecursionError) as error:
        raise SettingsError(
            path, WHOLE_FILE, f'({error})', 'well-formed TOML 1.0'
        ) from None


def _check_numbers(source: _Source, found: object, steps: list[str]) -> None:
    """Refuse negative and non-finite numbers, whatever the type's bounds.

    :raises SettingsError: a number is negative or not finite.
    """
    # Such an interval would make a task spin or never run.
    match found:
        case float() | int() if not 0 <= found < math.inf:
            known = describe_type(find_type(source.kind, steps))
            raise SettingsError(
                source.path,
                _join(steps),
                format_value(found),
                f'{known}, finite and not negative',
            )
        case dict():
            for key, inner in found.items():
                _check_numbers(source, inner, [*steps, key])


def _make_error(
    error: msgspec.ValidationError, source: _Source
) -> SettingsError:
    message = str(error)
    location = _LOCATION.search(message)
    steps = _PATH_STEP.findall(location.group(1)) if location else []
    cause = error.__cause__
    match cause:
        case KeyConflict():
            return _make_conflict_error(cause, source, steps)
        case ValueError():
            return SettingsError(
                source.path,
                _join(steps),
                format_value(_look_up(source.raw, steps)),
                str(cause),
            )
    missing = _MISSING_FIELD.match(message)
    if missing:
        steps = [*steps, missing.group(1)]
    return SettingsError(
        source.path,
        _join(steps),
        MISSING if missing else format_value(_look_up(source.raw, steps)),
        describe_type(find_type(source.kind, steps)),
    )


def _make_unknown_key_error(
    source: _Source, steps: list[str], key: str
) -> SettingsError:
    return SettingsError(
        source.path,
        _join([*steps, key]),
        format_value(_look_up(source.raw, [*steps, key])),
        describe_fields(find_type(source.kind, steps)),
    )


def _make_conflict_error(
    conflict: KeyConflict, source: _Source, steps: list[str]
) -> SettingsError:
    key_steps = [*steps, *conflict.key.split('.')]
    try:
        shown = format_value(_look_up(source.raw, key_steps))
    except LookupError:
        shown = '(default)'
    return SettingsError(source.path, _join(key_steps), shown, conflict.allowed)


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
