"""Entries by revision, and their checksums."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from typing import TYPE_CHECKING

from ospreyford.distribution.entries import Entry, compute_fingerprint

if TYPE_CHECKING:
    from ospreyford.distribution.checksums import ChecksumTree

#: Sorts after every name, for a cursor behind all names of a revision.
MAX_NAME = '\U0010ffff'


def compute_position(entry: Entry) -> tuple[int, str]:
    """Give the place of an entry in the order of revisions.

    :param entry: the entry.
    :returns: revision and name.
    """
    return entry.revision, entry.name


class RevisionIndex:
    """The entries in the order of their revisions.

    :param tree: the checksums to keep beside them.
    """

    def __init__(self, tree: ChecksumTree) -> None:
        self._tree = tree
        self._entries: list[Entry] = []

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over all."""
        return iter(self._entries)

    @property
    def revision(self) -> int:
        """The highest revision; 0 when empty."""
        return self._entries[-1].revision if self._entries else 0

    def insert(self, entry: Entry) -> None:
        """Put an entry in.

        :param entry: one that is not there.
        """
        insort(self._entries, entry, key=_sort_key)
        self._tree.toggle(entry.name, compute_fingerprint(entry))

    def remove(self, entry: Entry) -> None:
        """Take an entry out.

        :param entry: one that is there.
        """
        key = _sort_key(entry)
        self._entries.pop(bisect_left(self._entries, key, key=_sort_key))
        self._tree.toggle(entry.name, compute_fingerprint(entry))

    def iterate_after(self, revision: int, name: str) -> Iterator[Entry]:
        """Iterate from behind a place.

        :param revision: the place's revision.
        :param name: the place's name.
        :returns: the entries behind that place.
        """
        index = bisect_right(
            self._entries, (revision, name), key=compute_position
        )
        while index < len(self._entries):
            yield self._entries[index]
            index += 1

    def list_tombstones(self, floor: int) -> list[Entry]:
        """List the removals that a floor makes needless.

        :param floor: the revision up to which to list.
        :returns: the tombstones, the oldest first.
        """
        end = bisect_right(
            self._entries, (floor, MAX_NAME), key=compute_position
        )
        return [entry for entry in self._entries[:end] if entry.deleted]


def _sort_key(entry: Entry) -> tuple[int, str, bool, bytes]:
    # Two versions of one document share a place where the service gave two
    # texts with one revision.
    return entry.revision, entry.name, entry.deleted, entry.text
