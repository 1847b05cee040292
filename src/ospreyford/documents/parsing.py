"""Parses and validates published documents."""

from __future__ import annotations

import re
import sys
import tomllib
from typing import Any, NamedTuple

import msgspec

from ospreyford.documents.errormessages import ROOT_PATH
from ospreyford.documents.faults import MAX_SHOWN_CHARACTERS, locate_fault
from ospreyford.documents.schema import DocumentBody, convert_body

#: Size limit of values in the configuration service.
MAX_DOCUMENT_BYTES = 1_048_576

#: Longer strings rarely repeat across documents.
MAX_INTERNED_CHARACTERS = 64

MAX_KEY_PARTS = 16

# tomllib takes quadratic time on dotted keys with many parts.
LONG_KEY_PATTERN = re.compile(
    rb"""(?<![\w-])(?:(?:[\w-]++|"[^"\n]*+"|'[^'\n]*+')[ \t]*+\.[ \t]*+)"""
    + b'{%d}' % MAX_KEY_PARTS
)


class Document(NamedTuple):
    """A well-formed document.

    ``name`` is its key in the configuration service.
    """

    name: str
    body: DocumentBody


class RejectedDocument(NamedTuple):
    """A malformed document and its first error.

    ``path`` is the location of the error, ``$`` for the whole document;
    ``found`` is the value there and ``allowed`` the accepted values.
    """

    name: str
    path: str
    found: str
    allowed: str


def is_well_formed(name: str, text: bytes) -> bool:
    """Return whether a document is well formed.

    :param name: its key in the configuration service.
    :param text: the published bytes.
    :returns: ``False`` if :func:`parse_document` rejects it.
    """
    return isinstance(parse_document(name, text), Document)


def parse_document(name: str, text: bytes) -> Document | RejectedDocument:
    """Parse one document.

    :param name: its key in the configuration service.
    :param text: the published bytes.
    :returns: the document, or its rejection.
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
    # Documents repeat the same names, so interning strings saves memory.
    match found:
        case str() if len(found) <= MAX_INTERNED_CHARACTERS:
            return sys.intern(found)
        case dict():
            return {
                key: _intern_strings(nested) for key, nested in found.items()
            }
        case list():
            return [_intern_strings(nested) for nested in found]
    return found


def _format_byte(text: bytes, offset: int) -> str:
    code = hex(text[offset])
    return f'{code} at byte {offset}'
