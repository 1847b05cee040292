"""Errors in settings files."""

from __future__ import annotations

import json
from dataclasses import dataclass

MAX_VALUE_CHARACTERS = 80
MISSING = '(missing)'


@dataclass(unsafe_hash=True)
class SettingsError(Exception):
    """A settings file cannot be read or is invalid.

    :param path: the file, as given by the operator.
    :param key: the dotted key, or ``-`` for the whole file.
    :param value: the value, truncated; ``(missing)`` if there is none.
    :param allowed: description of allowed values.
    """

    path: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Format the error on one line.

        :returns: file, key, value and allowed values.
        """
        location = f'{self.path}: {self.key}'
        line = f'{location} = {self.value}: allowed: {self.allowed}'
        return escape_unprintable(line)


@dataclass(unsafe_hash=True)
class KeyConflict(ValueError):
    """A value conflicts with the value of another key.

    Raised by ``__post_init__`` of a section; the loader adds file and value.

    :param key: field of the section, dotted if nested.
    :param allowed: allowed values, with the other key's name and value.
    """

    key: str
    allowed: str


def format_value(found: object) -> str:
    """Format a value for an error message.

    :param found: a decoded TOML value.
    :returns: JSON, truncated to 80 characters and an ellipsis.
    """
    shown = json.dumps(found, default=str, ensure_ascii=False)
    if len(shown) > MAX_VALUE_CHARACTERS:
        return ''.join([shown[:MAX_VALUE_CHARACTERS], '...'])
    return shown


def escape_unprintable(text: str) -> str:
    """Escape unprintable characters in untrusted text for a terminal.

    :param text: the text.
    :returns: the text with newlines and control characters escaped.
    """
    return ''.join(map(_escape, text))


def _escape(character: str) -> str:
    if character.isprintable():
        return character
    return character.encode('unicode_escape').decode('ascii')
