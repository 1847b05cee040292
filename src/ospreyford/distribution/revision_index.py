"""Index of entries in revision order."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from typing import TYPE_CHECKING

from ospreyford.distribution.entries import Entry, compute_fingerprint

if TYPE_CHECKING:
    from ospreyford.distribution.checksums import ChecksumTree

#: Sorts after every name, for a cursor at the end of a revision.
MAX_NAME = '\U0010ffff'


def compute_position(entry: Entry) -> tuple[int, str]:
    """Compute the position of an entry in revision order.

    :param entry: the entry.
    :returns: revision and name.
    """
    return entry.revision, entry.name


class RevisionIndex:
    """Entries in revision order, and their checksum tree.

    :param tree: updated with each entry.
    """

    def __init__(self, tree: ChecksumTree) -> None:
        self._tree = tree
        self._entries: list[Entry] = []

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over all entries."""
        return iter(self._entries)

    @property
    def revision(self) -> int:
        """The highest revision; 0 when empty."""
        return self._entries[-1].revision if self._entries else 0

    def insert(self, entry: Entry) -> None:
        """Insert an entry.

        :param entry: an entry not in the index.
        """
        insort(self._entries, entry, key=_sort_key)
        self._tree.toggle(entry.name, compute_fingerprint(entry))

    def remove(self, entry: Entry) -> None:
        """Remove an entry.

        :param entry: an entry in the index.
        """
        key = _sort_key(entry)
        self._entries.pop(bisect_left(self._entries, key, key=_sort_key))
        self._tree.toggle(entry.name, compute_fingerprint(entry))

    def iterate_after(self, revision: int, name: str) -> Iterator[Entry]:
        """Iterate over the entries after a position.

        :param revision: the position's revision.
        :param name: the position's name.
        :returns: the entries after it.
        """
        index = bisect_right(
            self._entries, (revision, name), key=compute_position
        )
        while index < len(self._entries):
            yield self._entries[index]
            index += 1

    def list_tombstones(self, floor: int) -> list[Entry]:
        """List the tombstones up to a floor.

        :param floor: highest revision to include.
        :returns: the tombstones, oldest first.
        """
        end = bisect_right(
            self._entries, (floor, MAX_NAME), key=compute_position
        )
        return [entry for entry in self._entries[:end] if entry.deleted]


def _sort_key(entry: Entry) -> tuple[int, str, bool, bytes]:
    # Conflicting versions of a document share revision and name.
    return entry.revision, entry.name, entry.deleted, entry.text
