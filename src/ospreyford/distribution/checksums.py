"""Checksum tree for locating differences between two replicas."""

from __future__ import annotations

import xxhash

BRANCH_COUNT = 32
LEAF_COUNT = BRANCH_COUNT * BRANCH_COUNT


class ChecksumTree:
    """A tree of 32 branches with 32 leaves each, over hashes of the names.

    A checksum is the exclusive or of the fingerprints below it, so it does not
    depend on insertion order.
    """

    def __init__(self) -> None:
        self.root = 0
        self._leaf_checksums: dict[int, int] = {}

    def toggle(self, name: str, fingerprint: int) -> None:
        """Add an entry, or remove it if present.

        :param name: the document's name.
        :param fingerprint: the entry's fingerprint.
        """
        leaf = compute_leaf(name)
        self._leaf_checksums[leaf] = (
            self._leaf_checksums.get(leaf, 0) ^ fingerprint
        )
        self.root ^= fingerprint

    def compute_children(self, branch: int | None = None) -> tuple[int, ...]:
        """Compute the checksums below the root or a branch.

        :param branch: the branch's number; ``None`` for the root.
        :returns: 32 checksums.
        """
        if branch is None:
            return tuple(
                map(self._compute_branch_checksum, range(BRANCH_COUNT))
            )
        first = branch * BRANCH_COUNT
        return tuple(
            self._leaf_checksums.get(leaf, 0)
            for leaf in range(first, first + BRANCH_COUNT)
        )

    def _compute_branch_checksum(self, branch: int) -> int:
        checksum = 0
        for leaf_sum in self.compute_children(branch):
            checksum ^= leaf_sum
        return checksum


def compute_leaf(name: str) -> int:
    """Compute the leaf of a name.

    :param name: a document's name.
    :returns: the leaf's number in the tree, the same on every process.
    """
    return xxhash.xxh3_64_intdigest(name.encode()) % LEAF_COUNT
