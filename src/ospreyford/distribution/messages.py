"""What processes say to each other about documents."""

from __future__ import annotations

import enum

import msgspec

from ospreyford.distribution.entries import Entry, Head


class Topic(enum.StrEnum):
    """What a question to a peer is about."""

    digest = 'distribution.digest'
    offer = 'distribution.offer'
    push = 'distribution.push'
    page = 'distribution.page'
    branch = 'distribution.branch'
    leaf = 'distribution.leaf'


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """What a process holds, in a few bytes.

    :param revision: the highest revision held.
    :param checksum: over all entries.
    :param complete: every change up to this store revision is held; -1
        before anything is known.
    :param settled: the process has a whole picture; a fresh one has none.
    :param stale: the process has not checked its picture lately.
    :param floor: removed documents are forgotten up to this revision.
    """

    revision: int
    checksum: int
    complete_revision: int
    bootstrapped: bool
    stale: bool
    floor: int = 0


class DigestRequest(msgspec.Struct, frozen=True, array_like=True):
    """A digest, and where the process that it belongs to is asked back."""

    address: str
    digest: Digest


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """Versions that the sender would push."""

    heads: tuple[Head, ...]


class WantedNames(msgspec.Struct, frozen=True, array_like=True):
    """Names out of an offer that the receiver lacks."""

    names: tuple[str, ...]


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Changed documents with their texts."""

    entries: tuple[Entry, ...]


class PageRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the entries behind a place in the order of revisions."""

    revision: int
    name: str


class Page(msgspec.Struct, frozen=True, array_like=True):
    """Entries in answer to a question; ``more`` when they were cut off.

    :param entries: the entries.
    :param more: there are more of them.
    :param gone: fingerprints of the heads in a leaf's question that the
        answerer knows to be replaced or removed.
    :param floor: the answerer's floor.
    """

    entries: tuple[Entry, ...]
    has_more: bool
    obsolete: frozenset[int] = frozenset()
    floor: int = 0


class BranchRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks which children differ; no ``branch`` compares the branches."""

    branch: int | None
    checksums: tuple[int, ...]


class DifferingChildren(msgspec.Struct, frozen=True, array_like=True):
    """The children whose checksums differ."""

    children: tuple[int, ...]


class LeafRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the entries of a leaf that the asker does not hold.

    :param leaf: the leaf's number.
    :param fingerprints: what the asker holds.
    :param heads: those of it that the answerer's floor may be above.
    """

    leaf: int
    fingerprints: frozenset[int]
    heads: tuple[Head, ...] = ()
