"""Pulling what a peer holds and this process lacks."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice
from typing import TYPE_CHECKING

from ospreyford.distribution.checksums import BRANCH_COUNT
from ospreyford.distribution.entries import (
    Entry,
    Head,
    compute_fingerprint,
    make_head,
    compute_checksum_without,
)
from ospreyford.distribution.messages import (
    BranchQuestion,
    Differing,
    Digest,
    LeafQuestion,
    Page,
    PageQuestion,
    Topic,
)
from ospreyford.distribution.ordered import MAX_NAME

if TYPE_CHECKING:
    from ospreyford.distribution.exchange import Exchange
    from ospreyford.distribution.state import State

NEWER_LIMIT = 1024


class Pull:
    """Fetches differences: by revision first, then down the checksum tree.

    :param state: what the process knows.
    :param exchange: carries the questions.
    """

    def __init__(self, state: State, exchange: Exchange) -> None:
        self._state = state
        self._exchange = exchange
        self._place = PageQuestion(0, '')

    def holds(self, theirs: Digest) -> bool:
        """Tell by a digest that everything of a peer is held.

        :param theirs: the peer's digest.
        :returns: ``True`` when sure of it.
        """
        replica = self._state.replica
        if theirs.checksum == replica.checksum:
            return True
        if theirs.revision > replica.revision:
            return False
        # Most often the peer only lacks the newest changes, and the removals
        # that it has forgotten; without them the checksums agree, and no
        # tree need be walked.
        behind = replica.entries_after(theirs.revision, MAX_NAME)
        extra = list(islice(behind, NEWER_LIMIT))
        if theirs.floor > replica.floor:
            extra.extend(replica.index.list_tombstones(theirs.floor))
        return compute_checksum_without(replica.checksum, extra) == theirs.checksum

    async def merge(self, address: str, theirs: Digest) -> bool:
        """Fetch what is missing.

        :param address: the peer's address.
        :param theirs: its digest.
        :returns: whether everything of the peer is held now.
        """
        if self.holds(theirs):
            return True
        self._state.counters.repairs += 1
        if self._state.settled:
            revision = self._state.replica.revision
            self._place = PageQuestion(revision, MAX_NAME)
        # A fresh process goes on where a cut snapshot ended, with whatever
        # peer; its highest revision says nothing, as rumours reach it too.
        if theirs.revision > self._place.revision:
            if not await self._pull_pages(address):
                return False
        return self.holds(theirs) or await self._walk(address, theirs.floor)

    async def _pull_pages(self, address: str) -> bool:
        while True:
            page = await self._exchange.ask(
                address, Topic.page, self._place, Page
            )
            if page is None:
                return False
            self._take(page)
            if not (page.more and page.entries):
                return True
            last = page.entries[-1]
            self._place = PageQuestion(last.revision, last.name)

    async def _walk(self, address: str, floor: int) -> bool:
        branches = await self._find_differing(address, None)
        while branches:
            branch = branches.pop()
            leaves = await self._find_differing(address, branch)
            numbers = _number_leaves(branch, leaves)
            if not await self._pull_leaves(address, numbers, floor):
                return False
        return branches is not None

    async def _find_differing(
        self, address: str, branch: int | None
    ) -> list[int] | None:
        sums = self._state.replica.tree.compute_children(branch)
        answer = await self._exchange.ask(
            address, Topic.branch, BranchQuestion(branch, sums), Differing
        )
        return None if answer is None else list(answer.children)

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
            question = LeafQuestion(
                leaf,
                frozenset(map(compute_fingerprint, entries)),
                self._list_doubtful(entries, floor),
            )
            page = await self._exchange.ask(address, Topic.leaf, question, Page)
            if page is None or page.floor < floor:
                # Another process, started at that address since, knows
                # nothing: all that is held here would count as removed.
                return False
            taken = self._take(page)
            if not page.more:
                # Not before the last page: it may bring the version that
                # replaced one of ours, which then is no removal.
                self._state.withdraw(leaf, page.gone, floor)
                return True
            # Entries that are older than ours come back each time; a page
            # with nothing but those would be asked for without end.
            if not taken:
                return False

    def _list_doubtful(
        self, entries: Iterable[Entry], floor: int
    ) -> tuple[Head, ...]:
        if floor <= self._state.replica.floor:
            return ()
        return tuple(
            make_head(entry)
            for entry in entries
            if entry.revision <= floor and not entry.deleted
        )

    def _take(self, page: Page) -> int:
        taken = self._state.apply(page.entries, tell=self._state.settled)
        self._state.counters.pulled_entries += taken
        return taken


def _number_leaves(branch: int, leaves: list[int] | None) -> list[int] | None:
    if leaves is None:
        return None
    return [branch * BRANCH_COUNT + leaf for leaf in leaves]
