"""The documents that this process holds: marks that only ever rise."""

from __future__ import annotations

from collections.abc import Iterator

from ospreyford.distribution.checksums import ChecksumTree, compute_leaf
from ospreyford.distribution.entries import Entry, Head, make_head
from ospreyford.distribution.revision_index import RevisionIndex
from ospreyford.distribution.service import WellFormedCheck
from ospreyford.distribution.versions import DocumentVersions, Verdict


class Replica:
    """Every document's highest accepted revision, tombstones included.

    Where that one is malformed, the last good one is kept beside it.
    ``tree`` holds the checksums by which two processes find the few documents
    in which they differ without sending the list of all.

    ``floor`` is a revision below which nothing new is taken in: this process
    has held every version up to it that counts, so what it does not hold of
    that age was replaced or removed, and tombstones need not be kept.

    :param is_well_formed: judges texts.
    """

    def __init__(self, is_well_formed: WellFormedCheck) -> None:
        self._is_well_formed = is_well_formed
        self.tree = ChecksumTree()
        self.floor = 0
        self._versions: dict[str, DocumentVersions] = {}
        self.index = RevisionIndex(self.tree)
        self._leaf_names: dict[int, list[str]] = {}

    def __len__(self) -> int:
        """Count the documents, tombstones included."""
        return len(self._versions)

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over the entries by revision."""
        return iter(self.index)

    @property
    def revision(self) -> int:
        """The highest revision held or forgotten; 0 when empty."""
        return max(self.index.revision, self.floor)

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
        versions = self._versions.get(name)
        return () if versions is None else versions.list_entries()

    def accept(self, entry: Entry) -> Verdict:
        """Take in a version of a document unless it is not newer.

        :param entry: the version, from the service or a peer.
        :returns: whether it is now held, and why not.
        """
        versions = self._versions.get(entry.name)
        # The mark of a removed document may be gone: a process that slept, a
        # late message and a stale service would bring the document back.
        if self.is_obsolete(make_head(entry)):
            return Verdict.older
        if versions is None:
            self._versions[entry.name] = DocumentVersions(
                entry, self._is_well_formed
            )
            self._leaf_names.setdefault(compute_leaf(entry.name), []).append(
                entry.name
            )
            self.index.insert(entry)
            return Verdict.accepted
        # A service that serves stale data, a flapping one and a late message
        # all bring back older versions. The operators would see a withdrawn
        # document in force again; the mark refuses it.
        before = versions.list_entries()
        verdict = versions.merge(entry)
        after = versions.list_entries()
        for one in before:
            if one not in after:
                self.index.remove(one)
        if entry in after and entry not in before:
            self.index.insert(entry)
        return verdict

    def lacks(self, head: Head) -> bool:
        """Tell whether a version may be worth keeping.

        :param head: what somebody else holds.
        :returns: whether the version is worth fetching.
        """
        if self.is_obsolete(head):
            return False
        versions = self._versions.get(head.name)
        return versions is None or versions.lacks(head)

    def covers(self, name: str, revision: int) -> bool:
        """Tell whether a document is held at a revision or a later one.

        A malformed version covers as well, or it would be read from the
        service again and again.

        :param name: the document's name.
        :param revision: the least revision.
        :returns: whether the mark has reached it.
        """
        if revision <= self.floor:
            return True
        versions = self._versions.get(name)
        return versions is not None and versions.newest.revision >= revision

    def entries_after(self, revision: int, name: str) -> Iterator[Entry]:
        """Iterate by revision, from behind a place.

        :param revision: the place's revision.
        :param name: the place's name.
        :returns: the entries behind that place.
        """
        return self.index.iterate_after(revision, name)

    def leaf_entries(self, leaf: int) -> tuple[Entry, ...]:
        """Give the entries of a leaf.

        :param leaf: the leaf's number among all.
        :returns: its entries.
        """
        names = self._leaf_names.get(leaf, ())
        return tuple(
            entry
            for name in names
            for entry in self._versions[name].list_entries()
        )

    def is_obsolete(self, head: Head) -> bool:
        """Tell whether a version was replaced or removed, by the floor alone.

        :param head: the version.
        :returns: ``False`` also where two versions have one revision, which
            the order between them decides.
        """
        if head.revision > self.floor:
            return False
        return all(
            entry.revision != head.revision for entry in self.find(head.name)
        )

    def raise_floor(self, floor: int) -> int:
        """Forget removed documents.

        :param floor: a revision up to which this process holds everything
            that counts.
        :returns: how many tombstones are gone.
        """
        if floor <= self.floor:
            return 0
        tombstones = self.index.list_tombstones(floor)
        for entry in tombstones:
            self._drop_tombstone(entry, floor)
        self.floor = floor
        return len(tombstones)

    def _drop_tombstone(self, tombstone: Entry, floor: int) -> None:
        name = tombstone.name
        if self._versions[name].drop_last_good_tombstone(floor) is None:
            self._versions.pop(name)
            self._leaf_names[compute_leaf(name)].remove(name)
        self.index.remove(tombstone)
