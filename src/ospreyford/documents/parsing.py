"""From the bytes of a published document to its checked content."""

from __future__ import annotations

import re
import sys
import tomllib
from typing import Any, NamedTuple

import msgspec

from ospreyford.documents.faults import MAX_SHOWN_CHARACTERS, locate_fault
from ospreyford.documents.errormessages import ROOT_PATH
from ospreyford.documents.schema import DocumentBody, convert_body

#: The configuration service holds values up to a megabyte.
MAX_DOCUMENT_BYTES = 1_048_576

#: Longer texts are hardly ever the same in two documents.
MAX_INTERNED_CHARACTERS = 64

#: The most parts a dotted key may have.
MAX_KEY_PARTS = 16

# tomllib copies the whole key for each of its parts, so that a key of
# 100,000 parts would stop the process for minutes. No kind needs more
# than a few.
LONG_KEY_PATTERN = re.compile(
    rb"""(?<![\w-])(?:(?:[\w-]++|"[^"\n]*+"|'[^'\n]*+')[ \t]*+\.[ \t]*+)"""
    + b'{%d}' % MAX_KEY_PARTS
)


class Document(NamedTuple):
    """A document that is well formed.

    ``name`` is its key in the configuration service.
    """

    name: str
    body: DocumentBody


class RejectedDocument(NamedTuple):
    """A document that is not in force, and why.

    ``path`` is the place of the error, ``$`` the document as a whole;
    ``found`` the value there, ``allowed`` what may stand there.
    """

    name: str
    path: str
    found: str
    allowed: str


def is_well_formed(name: str, text: bytes) -> bool:
    """Tell whether a document would be put in force.

    :param name: its key in the configuration service.
    :param text: the published bytes.
    :returns: ``False`` where :func:`parse_document` refuses it.
    """
    return isinstance(parse_document(name, text), Document)


def parse_document(name: str, text: bytes) -> Document | RejectedDocument:
    """Read one document.

    :param name: its key in the configuration service.
    :param text: the published bytes, whatever they are.
    :returns: the document, or where and why it is refused.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        return RejectedDocument(
            name,
            ROOT_PATH,
            f'{len(text)} bytes',
            f'at most {MAX_DOCUMENT_BYTES} bytes',
        )
    table = _read_table(name, text)
    if isinstance(table, RejectedDocument):
        return table
    try:
        return Document(name, convert_body(_intern_strings(table)))
    except msgspec.ValidationError as error:
        fault = locate_fault(table, str(error))
    except (ValueError, RecursionError):
        found = 'nesting too deep or a number too long'
        return RejectedDocument(name, ROOT_PATH, found, 'TOML')
    return RejectedDocument(name, *fault)


def _read_table(name: str, text: bytes) -> dict[str, Any] | RejectedDocument:
    try:
        decoded = text.decode()
    except UnicodeDecodeError as error:
        found = _format_byte(text, error.start)
        return RejectedDocument(name, ROOT_PATH, found, 'UTF-8')
    long_key = LONG_KEY_PATTERN.search(text)
    if long_key:
        found = f'a longer dotted key at byte {long_key.start()}'
        allowed = f'keys of at most {MAX_KEY_PARTS} parts'
        return RejectedDocument(name, ROOT_PATH, found, allowed)
    try:
        return tomllib.loads(decoded)
    except tomllib.TOMLDecodeError as error:
        return RejectedDocument(
            name, ROOT_PATH, str(error)[-MAX_SHOWN_CHARACTERS:], 'TOML'
        )
    except (ValueError, RecursionError):
        found = 'nesting too deep or a number too long'
        return RejectedDocument(name, ROOT_PATH, found, 'TOML')


def _intern_strings(found: Any) -> Any:
    # Each value that is read is a string of its own: thousands of documents
    # name the same teams, services, pools and labels.
    match found:
        case str() if len(found) <= MAX_INTERNED_CHARACTERS:
            return sys.intern(found)
        case dict():
            return {key: _intern_strings(one) for key, one in found.items()}
        case list():
            return [_intern_strings(one) for one in found]
    return found


def _format_byte(text: bytes, offset: int) -> str:
    code = hex(text[offset])
    return f'{code} at byte {offset}'
