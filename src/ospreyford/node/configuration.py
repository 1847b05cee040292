"""Configuration in force, resolved from distributed documents."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

import curio

from ospreyford.distribution.bootstrap import Ready
from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.resolver import Resolver
from ospreyford.documents.schema import select_kinds

if TYPE_CHECKING:
    from ospreyford.distribution.distributor import Distributor
    from ospreyford.distribution.entries import Entry
    from ospreyford.documents.snapshot import ConfigurationSnapshot
    from ospreyford.node.reporter import FleetReporter

POLL_SECONDS = 0.02

#: Called with each new picture.
PictureListener = Callable[['ConfigurationSnapshot'], None]


class Configuration:
    """Resolves distributed documents into the configuration in force.

    :param distributor: source of documents.
    :param reporter: records changes.
    :param role: ``entry`` or ``backend``; selects the document kinds to use.
    """

    def __init__(
        self,
        distributor: Distributor,
        reporter: FleetReporter,
        role: str = 'entry',
    ) -> None:
        self.ready = False
        self.revision = 0
        self.resolver = Resolver(select_kinds(role))
        self._distributor = distributor
        self._reporter = reporter
        self._listeners: list[PictureListener] = []
        self._pending_entries: deque[tuple[Entry, ...]] = deque()
        self._is_resolving = False

    @property
    def picture(self) -> ConfigurationSnapshot:
        """The configuration in force; empty until first resolved."""
        return self.resolver.snapshot

    def is_stale(self) -> bool:
        """Check whether newer documents may exist than those in force.

        :returns: whether the documents have not been checked recently, or some
            are not resolved yet.
        """
        is_pending = self._is_resolving or bool(self._pending_entries)
        return is_pending or self._distributor.is_stale()

    def subscribe(self, listener: PictureListener) -> None:
        """Subscribe to new pictures.

        :param listener: called with each new picture.
        """
        self._listeners.append(listener)

    async def run_bootstrap(self) -> None:
        """Fetch the initial documents; later changes are pushed."""
        self._distributor.subscribe(self._pending_entries.append)
        outcome = await self._distributor.bootstrap()
        while not isinstance(outcome, Ready):
            outcome = await self._distributor.bootstrap()

    async def run(self) -> None:
        """Resolve changed documents as they arrive."""
        while True:
            if self._pending_entries:
                self._is_resolving = True
                await self._apply_entries(self._pending_entries.popleft())
                self._is_resolving = False
                self.ready = True
            await curio.sleep(POLL_SECONDS)

    async def _apply_entries(self, entries: tuple[Entry, ...]) -> None:
        revisions = (entry.revision for entry in entries)
        self.revision = max(self.revision, *revisions)
        previous_digest = self.picture.digest
        # Resolving a large document would block the event loop.
        picture: ConfigurationSnapshot = await curio.run_in_thread(
            self.resolver.record,
            [DocumentEntry(*each) for each in entries],
        )
        for listener in self._listeners:
            listener(picture)
        if picture.digest != previous_digest:
            self._reporter.record_picture(picture, self.revision)
