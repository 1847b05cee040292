"""Replica of the documents, whose revisions never decrease."""

from __future__ import annotations

from collections.abc import Iterator

from ospreyford.distribution.checksums import ChecksumTree, compute_leaf
from ospreyford.distribution.entries import Entry, Head, make_head
from ospreyford.distribution.revision_index import RevisionIndex
from ospreyford.distribution.service import WellFormedCheck
from ospreyford.distribution.versions import DocumentVersions, Verdict


class Replica:
    """The newest version of every document, tombstones included.

    If the newest version is malformed, the last good one is kept too.
    ``tree`` holds the checksums for comparison with other replicas.

    ``floor`` is the revision up to which tombstones are collected. A version at
    or below it that is not held was replaced or removed, and is rejected.

    :param is_well_formed: validates texts.
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
        """The highest revision held or collected; 0 when empty."""
        return max(self.index.revision, self.floor)

    @property
    def checksum(self) -> int:
        """The checksum over all entries."""
        return self.tree.root

    def find(self, name: str) -> tuple[Entry, ...]:
        """Find the versions of a document.

        :param name: the document's name.
        :returns: the newest version, possibly a tombstone, and the last good
            one if that differs; empty if none is held.
        """
        versions = self._versions.get(name)
        return () if versions is None else versions.list_entries()

    def accept(self, entry: Entry) -> Verdict:
        """Accept a version of a document unless it is older.

        :param entry: the version, from the service or a peer.
        :returns: whether it is accepted, or why not.
        """
        versions = self._versions.get(entry.name)
        # A paused peer, a delayed message or a stale service must not restore
        # a removed document whose tombstone has been collected.
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
        # The merge rejects older versions from stale sources.
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
        """Tell whether a peer's version is missing here.

        :param head: the peer's version.
        :returns: whether to fetch the version.
        """
        if self.is_obsolete(head):
            return False
        versions = self._versions.get(head.name)
        return versions is None or versions.lacks(head)

    def covers(self, name: str, revision: int) -> bool:
        """Tell whether a document is held at a revision or a later one.

        A malformed version counts too, so that it is not read repeatedly.

        :param name: the document's name.
        :param revision: the minimum revision.
        :returns: whether the newest version or the floor has reached it.
        """
        if revision <= self.floor:
            return True
        versions = self._versions.get(name)
        return versions is not None and versions.newest.revision >= revision

    def iterate_after(self, revision: int, name: str) -> Iterator[Entry]:
        """Iterate in revision order over the entries after a position.

        :param revision: the position's revision.
        :param name: the position's name.
        :returns: the entries after it.
        """
        return self.index.iterate_after(revision, name)

    def list_leaf_entries(self, leaf: int) -> tuple[Entry, ...]:
        """List the entries of a leaf.

        :param leaf: the leaf's number in the tree.
        :returns: its entries.
        """
        names = self._leaf_names.get(leaf, ())
        return tuple(
            entry
            for name in names
            for entry in self._versions[name].list_entries()
        )

    def is_obsolete(self, head: Head) -> bool:
        """Tell whether the floor proves a version replaced or removed.

        :param head: the version.
        :returns: ``False`` also for conflicting versions of one revision, which
            the merge resolves.
        """
        if head.revision > self.floor:
            return False
        return all(
            entry.revision != head.revision for entry in self.find(head.name)
        )

    def raise_floor(self, floor: int) -> int:
        """Collect tombstones.

        :param floor: a revision up to which every current version is held.
        :returns: number of tombstones collected.
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
