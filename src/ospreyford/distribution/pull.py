"""Pulling what a peer holds and this process lacks."""

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
    """Fetches differences: by revision first, then down the checksum tree.

    :param state: what the process knows.
    :param exchange: carries the questions.
    """

    def __init__(self, state: State, exchange: PeerExchange) -> None:
        self._state = state
        self._exchange = exchange
        self._cursor = PageRequest(0, '')

    def holds_all(self, peer_digest: Digest) -> bool:
        """Tell by a digest that everything of a peer is held.

        :param theirs: the peer's digest.
        :returns: ``True`` when sure of it.
        """
        replica = self._state.replica
        if peer_digest.checksum == replica.checksum:
            return True
        if peer_digest.revision > replica.revision:
            return False
        # Most often the peer only lacks the newest changes, and the removals
        # that it has forgotten; without them the checksums agree, and no
        # tree need be walked.
        newer = replica.entries_after(peer_digest.revision, MAX_NAME)
        extra = list(islice(newer, MAX_EXTRA_ENTRIES))
        if peer_digest.floor > replica.floor:
            extra.extend(replica.index.list_tombstones(peer_digest.floor))
        return (
            compute_checksum_without(replica.checksum, extra)
            == peer_digest.checksum
        )

    async def pull_missing(self, address: str, peer_digest: Digest) -> bool:
        """Fetch what is missing.

        :param address: the peer's address.
        :param theirs: its digest.
        :returns: whether everything of the peer is held now.
        """
        if self.holds_all(peer_digest):
            return True
        self._state.counters.repairs += 1
        if self._state.bootstrapped:
            revision = self._state.replica.revision
            self._cursor = PageRequest(revision, MAX_NAME)
        # A fresh process goes on where a cut snapshot ended, with whatever
        # peer; its highest revision says nothing, as rumours reach it too.
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
            entries = self._state.replica.leaf_entries(leaf)
            request = LeafRequest(
                leaf,
                frozenset(map(compute_fingerprint, entries)),
                self._list_heads_below(entries, floor),
            )
            page = await self._exchange.send_request(
                address, Topic.leaf, request, Page
            )
            if page is None or page.floor < floor:
                # Another process, started at that address since, knows
                # nothing: all that is held here would count as removed.
                return False
            accepted = self._apply_page(page)
            if not page.has_more:
                # Not before the last page: it may bring the version that
                # replaced one of ours, which then is no removal.
                self._state.remove_obsolete(leaf, page.obsolete, floor)
                return True
            # Entries that are older than ours come back each time; a page
            # with nothing but those would be asked for without end.
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
