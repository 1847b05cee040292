"""What this process answers to its peers' questions."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from ospreyford.distribution.entries import Entry, compute_fingerprint
from ospreyford.distribution.messages import (
    BranchQuestion,
    Delta,
    Differing,
    LeafQuestion,
    Offer,
    Page,
    PageQuestion,
    Topic,
    Wanted,
)

if TYPE_CHECKING:
    from ospreyford.distribution.exchange import Exchange
    from ospreyford.distribution.state import State

#: Entries without text cost bytes too.
ENTRY_OVERHEAD_BYTES = 32


class Answers:
    """Handlers of the topics that need nothing but the state.

    :param state: what the process knows.
    :param exchange: where to register them.
    """

    def __init__(self, state: State, exchange: Exchange) -> None:
        self._state = state
        exchange.serve(Topic.offer, Offer, self._consider)
        exchange.serve(Topic.push, Delta, self._receive)
        exchange.serve(Topic.page, PageQuestion, self._give_page)
        exchange.serve(Topic.branch, BranchQuestion, self._compare)
        exchange.serve(Topic.leaf, LeafQuestion, self._give_leaf)

    def _consider(self, offer: Offer) -> Wanted:
        lacks = self._state.replica.lacks
        return Wanted(tuple(head.name for head in offer.heads if lacks(head)))

    def _receive(self, delta: Delta) -> Wanted:
        self._state.apply(delta.entries)
        return Wanted(())

    def _give_page(self, question: PageQuestion) -> Page:
        behind = self._state.replica.entries_after(
            question.revision, question.name
        )
        return cut_page(behind, self._state.settings.page_bytes)

    def _compare(self, question: BranchQuestion) -> Differing:
        mine = self._state.replica.tree.compute_children(question.branch)
        pairs = enumerate(zip(mine, question.sums, strict=False))
        return Differing(
            tuple(child for child, (here, there) in pairs if here != there)
        )

    def _give_leaf(self, question: LeafQuestion) -> Page:
        replica = self._state.replica
        lacking = (
            entry
            for entry in replica.leaf_entries(question.leaf)
            if compute_fingerprint(entry) not in question.fingerprints
        )
        page = cut_page(lacking, self._state.settings.page_bytes)
        gone = frozenset(
            head.fingerprint for head in question.heads if replica.is_obsolete(head)
        )
        return Page(page.entries, page.more, gone, replica.floor)


def cut_page(entries: Iterable[Entry], limit: int) -> Page:
    """Take entries from the front while they fit into a message.

    :param entries: the entries, in order.
    :param limit: bytes; a first entry larger than that goes alone.
    :returns: the page.
    """
    page: list[Entry] = []
    size = 0
    for entry in entries:
        size += len(entry.text) + len(entry.name) + ENTRY_OVERHEAD_BYTES
        if page and size > limit:
            return Page(tuple(page), more=True)
        page.append(entry)
    return Page(tuple(page), more=False)
