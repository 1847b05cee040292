"""What can be wrong with a settings file."""

from __future__ import annotations

import json
from dataclasses import dataclass

MAX_VALUE_CHARACTERS = 80
MISSING = '(missing)'


@dataclass(unsafe_hash=True)
class SettingsError(Exception):
    """A settings file that cannot be used.

    :param path: the file, as the operator gave it.
    :param key: the dotted key, or where in the file, or ``-`` for the file.
    :param value: what stands there, shortened; ``(missing)`` if nothing does.
    :param allowed: what may stand there.
    """

    path: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Tell it in one line, whatever the file holds.

        :returns: file, key, value and what is allowed.
        """
        location = f'{self.path}: {self.key}'
        line = f'{location} = {self.value}: allowed: {self.allowed}'
        return escape_unprintable(line)


@dataclass(unsafe_hash=True)
class KeyConflict(ValueError):
    """A value that is fine alone but not beside another key's.

    Raised by ``__post_init__`` of a section; the loader adds file and value.

    :param key: the field of the section that raises, dotted for deeper ones.
    :param allowed: what may stand there, with the other key's name and value.
    """

    key: str
    allowed: str


def format_value(found: object) -> str:
    """Write a value for a message, shortened.

    :param found: a value as TOML gives it.
    :returns: at most 80 characters.
    """
    shown = json.dumps(found, default=str, ensure_ascii=False)
    if len(shown) > MAX_VALUE_CHARACTERS:
        return ''.join([shown[:MAX_VALUE_CHARACTERS], '...'])
    return shown


def escape_unprintable(text: str) -> str:
    """Keep a text on its line and away from the terminal's controls.

    :param text: may come from a file or from another host.
    :returns: the text with line ends and control characters escaped.
    """
    return ''.join(map(_escape, text))


def _escape(character: str) -> str:
    if character.isprintable():
        return character
    return character.encode('unicode_escape').decode('ascii')
