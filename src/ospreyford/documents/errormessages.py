"""Reads the places out of the messages of msgspec."""

from __future__ import annotations

import re
from typing import NamedTuple, TypeAlias

#: How msgspec writes a key of a mapping: it does not say which.
ANY_KEY = '[...]'

# Only the paths that msgspec itself writes: a document's own keys stand in
# the message too, and may imitate one.
MESSAGE_PATTERN = re.compile(
    '(?P<text>.*?)( - at (?P<in_key>`key` in )?'
    + r'`(?P<path>\$(?:\.[a-z_]+|\[\d+\]|\[\.\.\.\])*)`)?',
    re.DOTALL,
)
STEP_PATTERN = re.compile(r'\.(?P<key>[^.\[]+)|\[(?P<index>\d+)\]|\[\.\.\.\]')

#: The place of a fault that concerns the document as a whole.
ROOT_PATH = '$'

Step: TypeAlias = str | int


class ParsedMessage(NamedTuple):
    """A message taken apart: ``steps`` lead to the place."""

    text: str
    steps: tuple[Step, ...]
    in_key: bool


def parse_message(message: str) -> ParsedMessage:
    """Take a message apart.

    :param message: the text of a validation error.
    :returns: what it says, and of which place.
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
