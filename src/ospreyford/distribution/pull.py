"""Pulling what a peer holds and this process lacks."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from ospreyford.distribution.checksums import BRANCHES
from ospreyford.distribution.entries import fingerprint_of
from ospreyford.distribution.messages import (
    BranchQuestion,
    Differing,
    Digest,
    LeafQuestion,
    Page,
    PageQuestion,
    Topic,
)
from ospreyford.distribution.replica import LAST_NAME

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
        # Most often the peer only lacks the newest changes; without them
        # the checksums agree, and no tree need be walked.
        behind = replica.entries_after(theirs.revision, LAST_NAME)
        newer = list(islice(behind, NEWER_LIMIT))
        return replica.checksum_without(newer) == theirs.checksum

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
            self._place = PageQuestion(revision, LAST_NAME)
        # A fresh process goes on where a cut snapshot ended, with whatever
        # peer; its highest revision says nothing, as rumours reach it too.
        if theirs.revision > self._place.revision:
            if not await self._pull_pages(address):
                return False
        return self.holds(theirs) or await self._walk(address)

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

    async def _walk(self, address: str) -> bool:
        branches = await self._find_differing(address, None)
        while branches:
            branch = branches.pop()
            leaves = await self._find_differing(address, branch)
            if not await self._pull_leaves(address, branch, leaves):
                return False
        return branches is not None

    async def _find_differing(
        self, address: str, branch: int | None
    ) -> list[int] | None:
        sums = self._state.replica.tree.children(branch)
        answer = await self._exchange.ask(
            address, Topic.branch, BranchQuestion(branch, sums), Differing
        )
        return None if answer is None else list(answer.children)

    async def _pull_leaves(
        self, address: str, branch: int, leaves: list[int] | None
    ) -> bool:
        while leaves:
            leaf = branch * BRANCHES + leaves.pop()
            if not await self._pull_leaf(address, leaf):
                return False
        return leaves is not None

    async def _pull_leaf(self, address: str, leaf: int) -> bool:
        while True:
            entries = self._state.replica.leaf_entries(leaf)
            question = LeafQuestion(
                leaf, frozenset(map(fingerprint_of, entries))
            )
            page = await self._exchange.ask(address, Topic.leaf, question, Page)
            if page is None:
                return False
            # Entries that are older than ours come back each time; a page
            # with nothing but those would be asked for without end.
            if not (self._take(page) and page.more):
                return not page.more

    def _take(self, page: Page) -> int:
        taken = self._state.apply(page.entries, tell=self._state.settled)
        self._state.counters.pulled_entries += taken
        return taken
