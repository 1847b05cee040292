"""Messages between processes about documents."""

from __future__ import annotations

import enum

import msgspec

from ospreyford.distribution.entries import Entry, Head


class Topic(enum.StrEnum):
    """Topic of a request to a peer."""

    digest = 'distribution.digest'
    offer = 'distribution.offer'
    push = 'distribution.push'
    page = 'distribution.page'
    branch = 'distribution.branch'
    leaf = 'distribution.leaf'


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Summary of the documents that a process holds.

    :param revision: the highest revision held.
    :param checksum: over all entries.
    :param complete_revision: every change up to this store revision is held;
        -1 before bootstrap.
    :param bootstrapped: the process holds a complete snapshot.
    :param stale: the process has not checked its documents recently.
    :param floor: tombstones are collected up to this revision.
    """

    revision: int
    checksum: int
    complete_revision: int
    bootstrapped: bool
    stale: bool
    floor: int = 0


class DigestRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request for a digest, with the sender's address and own digest."""

    address: str
    digest: Digest


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """Versions that the sender offers to push."""

    heads: tuple[Head, ...]


class WantedNames(msgspec.Struct, frozen=True, array_like=True):
    """Names in an offer that the receiver lacks."""

    names: tuple[str, ...]


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Changed documents with their texts."""

    entries: tuple[Entry, ...]


class PageRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the entries after a position in revision order."""

    revision: int
    name: str


class Page(msgspec.Struct, frozen=True, array_like=True):
    """A page of entries in reply to a request.

    :param entries: the entries.
    :param has_more: further entries were left out.
    :param obsolete: fingerprints of the heads in a leaf request that the
        responder knows to be replaced or removed.
    :param floor: the responder's floor.
    """

    entries: tuple[Entry, ...]
    has_more: bool
    obsolete: frozenset[int] = frozenset()
    floor: int = 0


class BranchRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the differing leaves of a branch, or the differing branches."""

    branch: int | None
    checksums: tuple[int, ...]


class DifferingChildren(msgspec.Struct, frozen=True, array_like=True):
    """The children whose checksums differ."""

    children: tuple[int, ...]


class LeafRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the entries of a leaf that the requester does not hold.

    :param leaf: the leaf's number.
    :param fingerprints: of the entries held.
    :param heads: those of them not above the responder's floor.
    """

    leaf: int
    fingerprints: frozenset[int]
    heads: tuple[Head, ...] = ()
