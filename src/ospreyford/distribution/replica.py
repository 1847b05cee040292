"""The documents that this process holds: marks that only ever rise."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Collection, Iterator

from ospreyford.distribution.checksums import ChecksumTree, leaf_of
from ospreyford.distribution.entries import (
    Entry,
    Head,
    fingerprint_of,
)
from ospreyford.distribution.service import WellFormed
from ospreyford.distribution.versions import Verdict, Versions

#: Sorts after every name, for a cursor behind all names of a revision.
LAST_NAME = '\U0010ffff'


def place_of(entry: Entry) -> tuple[int, str]:
    """Give the place of an entry in the order of revisions.

    :param entry: the entry.
    :returns: revision and name.
    """
    return entry.revision, entry.name


class Replica:
    """Every document's highest accepted revision, tombstones included.

    Where that one is malformed, the last good one is kept beside it.
    ``tree`` holds the checksums by which two processes find the few documents
    in which they differ without sending the list of all.

    :param is_well_formed: judges texts.
    """

    def __init__(self, is_well_formed: WellFormed) -> None:
        self._is_well_formed = is_well_formed
        self.tree = ChecksumTree()
        self._versions: dict[str, Versions] = {}
        self._ordered: list[Entry] = []
        self._names: dict[int, list[str]] = {}

    def __len__(self) -> int:
        """Count the documents, tombstones included."""
        return len(self._versions)

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

    def find(self, name: str) -> tuple[Entry, ...]:
        """Find what is held of a document.

        :param name: the document's name.
        :returns: the newest version, perhaps a tombstone, and the last good
            one if that differs; empty if never seen.
        """
        held = self._versions.get(name)
        return () if held is None else held.list_entries()

    def accept(self, entry: Entry) -> Verdict:
        """Take in a version of a document unless it is not newer.

        :param entry: the version, from the service or a peer.
        :returns: whether it is now held, and why not.
        """
        held = self._versions.get(entry.name)
        if held is None:
            self._versions[entry.name] = Versions(entry, self._is_well_formed)
            self._names.setdefault(leaf_of(entry.name), []).append(entry.name)
            self._insert(entry)
            return Verdict.accepted
        # A service that serves stale data, a flapping one and a late message
        # all bring back older versions. The operators would see a withdrawn
        # document in force again; the mark refuses it.
        before = held.list_entries()
        verdict = held.merge(entry)
        after = held.list_entries()
        for one in before:
            if one not in after:
                self._remove(one)
        if entry in after and entry not in before:
            self._insert(entry)
        return verdict

    def lacks(self, head: Head) -> bool:
        """Tell whether a version may be worth keeping.

        :param head: what somebody else holds.
        :returns: whether the version is worth fetching.
        """
        held = self._versions.get(head.name)
        return held is None or held.lacks(head)

    def covers(self, name: str, revision: int) -> bool:
        """Tell whether a document is held at a revision or a later one.

        A malformed version covers as well, or it would be read from the
        service again and again.

        :param name: the document's name.
        :param revision: the least revision.
        :returns: whether the mark has reached it.
        """
        held = self._versions.get(name)
        return held is not None and held.newest.revision >= revision

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
        return tuple(
            entry
            for name in names
            for entry in self._versions[name].list_entries()
        )

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
        insort(self._ordered, entry, key=_sort_key)
        self.tree.toggle(entry.name, fingerprint_of(entry))

    def _remove(self, entry: Entry) -> None:
        key = _sort_key(entry)
        self._ordered.pop(bisect_left(self._ordered, key, key=_sort_key))
        self.tree.toggle(entry.name, fingerprint_of(entry))


def _sort_key(entry: Entry) -> tuple[int, str, bool, bytes]:
    # Two versions of one document share a place where the service gave two
    # texts with one revision.
    return entry.revision, entry.name, entry.deleted, entry.text
