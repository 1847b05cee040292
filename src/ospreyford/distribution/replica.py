"""The documents that this process holds: marks that only ever rise."""

from __future__ import annotations

import enum
from bisect import bisect_right, insort
from collections.abc import Collection, Iterator

from ospreyford.distribution.checksums import ChecksumTree, leaf_of
from ospreyford.distribution.entries import (
    Entry,
    Head,
    fingerprint_of,
    order_of,
)

#: Sorts after every name, for a cursor behind all names of a revision.
LAST_NAME = '\U0010ffff'


class Verdict(enum.Enum):
    """What became of an entry that was offered to the replica."""

    accepted = 'accepted'
    known = 'known'
    older = 'older'
    conflict_accepted = 'conflict accepted'
    conflict_refused = 'conflict refused'


def place_of(entry: Entry) -> tuple[int, str]:
    """Give the place of an entry in the order of revisions.

    :param entry: the entry.
    :returns: revision and name.
    """
    return entry.revision, entry.name


class Replica:
    """Every document's highest accepted revision, tombstones included.

    ``tree`` holds the checksums by which two processes find the few documents
    in which they differ without sending the list of all.
    """

    def __init__(self) -> None:
        self.tree = ChecksumTree()
        self._entries: dict[str, Entry] = {}
        self._ordered: list[Entry] = []
        self._names: dict[int, list[str]] = {}

    def __len__(self) -> int:
        """Count the documents, tombstones included."""
        return len(self._entries)

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over the entries by revision."""
        return iter(self._ordered)

    @property
    def revision(self) -> int:
        """The highest revision held; 0 when empty."""
        return self._ordered[-1].revision if self._ordered else 0

    @property
    def checksum(self) -> int:
        """The checksum over all entries."""
        return self.tree.root

    def find(self, name: str) -> Entry | None:
        """Find a document's entry.

        :param name: the document's name.
        :returns: the entry, perhaps a tombstone; ``None`` if never seen.
        """
        return self._entries.get(name)

    def accept(self, entry: Entry) -> Verdict:
        """Take in a version of a document unless it is not newer.

        :param entry: the version, from the service or a peer.
        :returns: whether it is now held, and why not.
        """
        held = self._entries.get(entry.name)
        if held is not None:
            # A service that serves stale data, a flapping one and a late
            # message all bring back older versions. The operators would see
            # a withdrawn document in force again; the mark refuses it.
            verdict = _judge(held, entry)
            if verdict not in _CHANGING:
                return verdict
            self._remove(held)
            self._insert(entry)
            return verdict
        self._names.setdefault(leaf_of(entry.name), []).append(entry.name)
        self._insert(entry)
        return Verdict.accepted

    def lacks(self, head: Head) -> bool:
        """Tell whether a version may be newer than the one held.

        :param head: what somebody else holds.
        :returns: whether the version is worth fetching.
        """
        held = self._entries.get(head.name)
        if held is None or held.revision < head.revision:
            return True
        if held.revision > head.revision:
            return False
        return fingerprint_of(held) != head.fingerprint

    def covers(self, name: str, revision: int) -> bool:
        """Tell whether a document is held at a revision or a later one.

        :param name: the document's name.
        :param revision: the least revision.
        :returns: whether the mark has reached it.
        """
        held = self._entries.get(name)
        return held is not None and held.revision >= revision

    def entries_after(self, revision: int, name: str) -> Iterator[Entry]:
        """Iterate by revision, from behind a place.

        :param revision: the place's revision.
        :param name: the place's name.
        :returns: the entries behind that place.
        """
        index = bisect_right(self._ordered, (revision, name), key=place_of)
        while index < len(self._ordered):
            yield self._ordered[index]
            index += 1

    def leaf_entries(self, leaf: int) -> tuple[Entry, ...]:
        """Give the entries of a leaf.

        :param leaf: the leaf's number among all.
        :returns: its entries.
        """
        names = self._names.get(leaf, ())
        return tuple(self._entries[name] for name in names)

    def checksum_without(self, newer: Collection[Entry]) -> int:
        """Give the checksum as if some entries were not held.

        :param newer: entries held here.
        :returns: the checksum of the others.
        """
        checksum = self.checksum
        for entry in newer:
            checksum ^= fingerprint_of(entry)
        return checksum

    def _insert(self, entry: Entry) -> None:
        self._entries[entry.name] = entry
        insort(self._ordered, entry, key=place_of)
        self.tree.toggle(entry.name, fingerprint_of(entry))

    def _remove(self, entry: Entry) -> None:
        index = bisect_right(self._ordered, place_of(entry), key=place_of)
        self._ordered.pop(index - 1)
        self.tree.toggle(entry.name, fingerprint_of(entry))


_CHANGING = frozenset((Verdict.accepted, Verdict.conflict_accepted))


def _judge(held: Entry, offered: Entry) -> Verdict:
    if offered == held:
        return Verdict.known
    if offered.revision != held.revision:
        newer = offered.revision > held.revision
        return Verdict.accepted if newer else Verdict.older
    if order_of(offered) > order_of(held):
        return Verdict.conflict_accepted
    return Verdict.conflict_refused
