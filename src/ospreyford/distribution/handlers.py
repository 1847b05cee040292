"""Request handlers that serve peers from the local state."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from ospreyford.distribution.entries import Entry, compute_fingerprint
from ospreyford.distribution.messages import (
    BranchRequest,
    Delta,
    DifferingChildren,
    LeafRequest,
    Offer,
    Page,
    PageRequest,
    Topic,
    WantedNames,
)

if TYPE_CHECKING:
    from ospreyford.distribution.exchange import PeerExchange
    from ospreyford.distribution.state import State

#: Estimated encoded size of an entry besides its name and text.
ENTRY_OVERHEAD_BYTES = 32


class RequestHandlers:
    """Handlers of the topics that depend on the state only.

    :param state: the process's documents.
    :param exchange: registers the handlers.
    """

    def __init__(self, state: State, exchange: PeerExchange) -> None:
        self._state = state
        exchange.register_handler(Topic.offer, Offer, self._handle_offer)
        exchange.register_handler(Topic.push, Delta, self._handle_push)
        exchange.register_handler(Topic.page, PageRequest, self._handle_page)
        exchange.register_handler(
            Topic.branch, BranchRequest, self._handle_branch
        )
        exchange.register_handler(Topic.leaf, LeafRequest, self._handle_leaf)

    def _handle_offer(self, offer: Offer) -> WantedNames:
        lacks = self._state.replica.lacks
        return WantedNames(
            tuple(head.name for head in offer.heads if lacks(head))
        )

    def _handle_push(self, delta: Delta) -> WantedNames:
        self._state.apply(delta.entries)
        return WantedNames(())

    def _handle_page(self, request: PageRequest) -> Page:
        entries = self._state.replica.iterate_after(
            request.revision, request.name
        )
        return build_page(entries, self._state.settings.page_bytes)

    def _handle_branch(self, request: BranchRequest) -> DifferingChildren:
        own_checksums = self._state.replica.tree.compute_children(
            request.branch
        )
        pairs = enumerate(zip(own_checksums, request.checksums, strict=False))
        return DifferingChildren(
            tuple(child for child, (here, there) in pairs if here != there)
        )

    def _handle_leaf(self, request: LeafRequest) -> Page:
        replica = self._state.replica
        lacking = (
            entry
            for entry in replica.list_leaf_entries(request.leaf)
            if compute_fingerprint(entry) not in request.fingerprints
        )
        page = build_page(lacking, self._state.settings.page_bytes)
        obsolete = frozenset(
            head.fingerprint
            for head in request.heads
            if replica.is_obsolete(head)
        )
        return Page(page.entries, page.has_more, obsolete, replica.floor)


def build_page(entries: Iterable[Entry], limit_bytes: int) -> Page:
    """Build a page of the first entries that fit into a message.

    :param entries: the entries, in order.
    :param limit_bytes: page size; a larger first entry is sent alone.
    :returns: the page.
    """
    page: list[Entry] = []
    size_bytes = 0
    for entry in entries:
        size_bytes += len(entry.text) + len(entry.name) + ENTRY_OVERHEAD_BYTES
        if page and size_bytes > limit_bytes:
            return Page(tuple(page), has_more=True)
        page.append(entry)
    return Page(tuple(page), has_more=False)
