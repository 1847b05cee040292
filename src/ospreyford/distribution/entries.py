"""One document at one revision, and the order between two of them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash


class Entry(NamedTuple):
    """What a process holds of one document.

    ``revision`` is the store-wide revision that last changed the document;
    ``deleted`` marks a tombstone, whose ``text`` is empty.
    """

    name: str
    revision: int
    text: bytes
    deleted: bool = False


class Head(NamedTuple):
    """Which version of a document a process holds, without its text."""

    name: str
    revision: int
    fingerprint: int


def compute_order_key(entry: Entry) -> tuple[int, bool, bytes]:
    """Give the key that orders two versions of one document.

    The revision decides. Two different versions with one revision cannot be
    ordered by what the service says, so a fixed rule must: a deletion goes
    before a text, and of two texts the greater one by its bytes is taken.
    That makes the order total, so processes agree whatever arrives first.

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
    """Give a checksum as if some entries were not held.

    :param checksum: the exclusive or of the fingerprints of all.
    :param entries: some of them.
    :returns: the checksum of the others.
    """
    for entry in entries:
        checksum ^= compute_fingerprint(entry)
    return checksum


def make_head(entry: Entry) -> Head:
    """Name a version of a document without its text.

    :param entry: the version.
    :returns: its head.
    """
    return Head(entry.name, entry.revision, compute_fingerprint(entry))
