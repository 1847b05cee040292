"""Parses validation error messages of msgspec."""

from __future__ import annotations

import re
from typing import NamedTuple, TypeAlias

#: Placeholder of msgspec for any key of a mapping.
ANY_KEY = '[...]'

# Matches only paths from msgspec; keys in a message may resemble paths.
MESSAGE_PATTERN = re.compile(
    '(?P<text>.*?)( - at (?P<in_key>`key` in )?'
    + r'`(?P<path>\$(?:\.[a-z_]+|\[\d+\]|\[\.\.\.\])*)`)?',
    re.DOTALL,
)
STEP_PATTERN = re.compile(r'\.(?P<key>[^.\[]+)|\[(?P<index>\d+)\]|\[\.\.\.\]')

#: Path of the whole document.
ROOT_PATH = '$'

Step: TypeAlias = str | int


class ParsedMessage(NamedTuple):
    """A parsed message; ``steps`` is the path to the location."""

    text: str
    steps: tuple[Step, ...]
    in_key: bool


def parse_message(message: str) -> ParsedMessage:
    """Parse a validation error message.

    :param message: the text of a validation error.
    :returns: its text and the path that it refers to.
    """
    parts = MESSAGE_PATTERN.fullmatch(message)
    if parts is None:
        return ParsedMessage(message, (), in_key=False)
    steps = tuple(
        _parse_step(found)
        for found in STEP_PATTERN.finditer(parts['path'] or ROOT_PATH)
    )
    return ParsedMessage(parts['text'], steps, in_key=bool(parts['in_key']))


def _parse_step(found: re.Match[str]) -> Step:
    if found['index']:
        return int(found['index'])
    return found['key'] or ANY_KEY
