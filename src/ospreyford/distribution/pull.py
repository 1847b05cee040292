"""Pull of missing entries from a peer."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice
from typing import TYPE_CHECKING

from ospreyford.distribution.checksums import BRANCH_COUNT
from ospreyford.distribution.entries import (
    Entry,
    Head,
    compute_checksum_without,
    compute_fingerprint,
    make_head,
)
from ospreyford.distribution.messages import (
    BranchRequest,
    DifferingChildren,
    Digest,
    LeafRequest,
    Page,
    PageRequest,
    Topic,
)
from ospreyford.distribution.revision_index import MAX_NAME

if TYPE_CHECKING:
    from ospreyford.distribution.exchange import PeerExchange
    from ospreyford.distribution.state import State

MAX_EXTRA_ENTRIES = 1024


class Pull:
    """Fetches missing entries by revision, then by checksum tree comparison.

    :param state: the process's documents.
    :param exchange: sends the requests.
    """

    def __init__(self, state: State, exchange: PeerExchange) -> None:
        self._state = state
        self._exchange = exchange
        self._cursor = PageRequest(0, '')

    def holds_all(self, peer_digest: Digest) -> bool:
        """Tell by a digest whether all entries of a peer are held.

        :param peer_digest: the peer's digest.
        :returns: ``True`` only if certain.
        """
        replica = self._state.replica
        if peer_digest.checksum == replica.checksum:
            return True
        if peer_digest.revision > replica.revision:
            return False
        # Usually the peer lacks only the newest changes and collected
        # tombstones; excluding these avoids a comparison of the trees.
        newer = replica.iterate_after(peer_digest.revision, MAX_NAME)
        extra = list(islice(newer, MAX_EXTRA_ENTRIES))
        if peer_digest.floor > replica.floor:
            extra.extend(replica.index.list_tombstones(peer_digest.floor))
        return (
            compute_checksum_without(replica.checksum, extra)
            == peer_digest.checksum
        )

    async def pull_missing(self, address: str, peer_digest: Digest) -> bool:
        """Pull the missing entries.

        :param address: the peer's address.
        :param peer_digest: its digest.
        :returns: whether all entries of the peer are held now.
        """
        if self.holds_all(peer_digest):
            return True
        self._state.counters.repairs += 1
        if self._state.bootstrapped:
            revision = self._state.replica.revision
            self._cursor = PageRequest(revision, MAX_NAME)
        # During bootstrap the cursor resumes an interrupted snapshot; the
        # highest revision held may come from a rumour.
        if peer_digest.revision > self._cursor.revision:
            if not await self._pull_pages(address):
                return False
        return self.holds_all(peer_digest) or await self._compare_trees(
            address, peer_digest.floor
        )

    async def _pull_pages(self, address: str) -> bool:
        while True:
            page = await self._exchange.send_request(
                address, Topic.page, self._cursor, Page
            )
            if page is None:
                return False
            self._apply_page(page)
            if not (page.has_more and page.entries):
                return True
            last = page.entries[-1]
            self._cursor = PageRequest(last.revision, last.name)

    async def _compare_trees(self, address: str, floor: int) -> bool:
        branches = await self._fetch_differing(address, None)
        while branches:
            branch = branches.pop()
            leaves = await self._fetch_differing(address, branch)
            numbers = _compute_leaf_numbers(branch, leaves)
            if not await self._pull_leaves(address, numbers, floor):
                return False
        return branches is not None

    async def _fetch_differing(
        self, address: str, branch: int | None
    ) -> list[int] | None:
        checksums = self._state.replica.tree.compute_children(branch)
        reply = await self._exchange.send_request(
            address,
            Topic.branch,
            BranchRequest(branch, checksums),
            DifferingChildren,
        )
        return None if reply is None else list(reply.children)

    async def _pull_leaves(
        self, address: str, leaves: list[int] | None, floor: int
    ) -> bool:
        while leaves:
            if not await self._pull_leaf(address, leaves.pop(), floor):
                return False
        return leaves is not None

    async def _pull_leaf(self, address: str, leaf: int, floor: int) -> bool:
        while True:
            entries = self._state.replica.list_leaf_entries(leaf)
            request = LeafRequest(
                leaf,
                frozenset(map(compute_fingerprint, entries)),
                self._list_heads_below(entries, floor),
            )
            page = await self._exchange.send_request(
                address, Topic.leaf, request, Page
            )
            if page is None or page.floor < floor:
                # A process restarted at that address holds no documents, so
                # all entries held here would count as removed.
                return False
            accepted = self._apply_page(page)
            if not page.has_more:
                # Only after the last page, which may still contain the
                # version that replaced one held here.
                self._state.remove_obsolete(leaf, page.obsolete, floor)
                return True
            # A page of only rejected entries would be requested forever.
            if not accepted:
                return False

    def _list_heads_below(
        self, entries: Iterable[Entry], floor: int
    ) -> tuple[Head, ...]:
        if floor <= self._state.replica.floor:
            return ()
        return tuple(
            make_head(entry)
            for entry in entries
            if entry.revision <= floor and not entry.deleted
        )

    def _apply_page(self, page: Page) -> int:
        accepted = self._state.apply(
            page.entries, announce=self._state.bootstrapped
        )
        self._state.counters.pulled_entries += accepted
        return accepted


def _compute_leaf_numbers(
    branch: int, leaves: list[int] | None
) -> list[int] | None:
    if leaves is None:
        return None
    return [branch * BRANCH_COUNT + leaf for leaf in leaves]
