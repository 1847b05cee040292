"""Versions of a document and the total order between them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash


class Entry(NamedTuple):
    """A version of a document.

    ``revision`` is the store-wide revision of the change; ``deleted`` marks a
    tombstone, whose ``text`` is empty.
    """

    name: str
    revision: int
    text: bytes
    deleted: bool = False


class Head(NamedTuple):
    """Identifier of a version, without its text."""

    name: str
    revision: int
    fingerprint: int


def compute_order_key(entry: Entry) -> tuple[int, bool, bytes]:
    """Compute the key that orders versions of a document.

    The order is total, so that processes agree regardless of arrival order:
    by revision; within a revision a deletion wins over a text, and the
    greater text in byte order wins.

    :param entry: a version of a document.
    :returns: a key that compares greater for the version to keep.
    """
    return entry.revision, entry.deleted, entry.text


def compute_fingerprint(entry: Entry) -> int:
    """Hash a version of a document.

    :param entry: the version.
    :returns: 64 bits over name, revision, deletion and text.
    """
    prefix = '\0'.join((entry.name, str(entry.revision), str(entry.deleted)))
    return xxhash.xxh3_64_intdigest(b'%s\0%s' % (prefix.encode(), entry.text))


def compute_checksum_without(checksum: int, entries: Iterable[Entry]) -> int:
    """Compute a checksum with some entries excluded.

    :param checksum: the exclusive or of the fingerprints of all entries.
    :param entries: the entries to exclude.
    :returns: the checksum of the others.
    """
    for entry in entries:
        checksum ^= compute_fingerprint(entry)
    return checksum


def make_head(entry: Entry) -> Head:
    """Make the head of a version.

    :param entry: the version.
    :returns: its head.
    """
    return Head(entry.name, entry.revision, compute_fingerprint(entry))
