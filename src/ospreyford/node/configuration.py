"""The documents in force in this process."""

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
    from ospreyford.node.announcer import Announcer

POLL_SECONDS = 0.02

#: Told of each new picture.
PictureListener = Callable[['ConfigurationSnapshot'], None]


class Configuration:
    """Resolves what the distribution brings into the picture in force.

    :param distributor: the documents.
    :param announcer: told of changes.
    :param role: ``entry`` or ``backend``; says which kinds it decides by.
    """

    def __init__(
        self,
        distributor: Distributor,
        announcer: Announcer,
        role: str = 'entry',
    ) -> None:
        self.ready = False
        self.revision = 0
        self.resolver = Resolver(select_kinds(role))
        self._distributor = distributor
        self._announcer = announcer
        self._listeners: list[PictureListener] = []
        self._changed: deque[tuple[Entry, ...]] = deque()

    @property
    def picture(self) -> ConfigurationSnapshot:
        """The picture in force; empty until the first one is whole."""
        return self.resolver.snapshot

    def listen(self, listener: PictureListener) -> None:
        """Have each new picture told.

        :param listener: called with the picture.
        """
        self._listeners.append(listener)

    async def run_bootstrap(self) -> None:
        """Get the first documents; later ones come by themselves."""
        self._distributor.subscribe(self._changed.append)
        answer = await self._distributor.bootstrap()
        while not isinstance(answer, Ready):
            answer = await self._distributor.bootstrap()

    async def run(self) -> None:
        """Resolve what changed, for ever."""
        while True:
            if self._changed:
                await self._take_entries(self._changed.popleft())
                self.ready = True
            await curio.sleep(POLL_SECONDS)

    async def _take_entries(self, entries: tuple[Entry, ...]) -> None:
        revisions = (entry.revision for entry in entries)
        self.revision = max(self.revision, *revisions)
        before = self.picture.digest
        # A document of a megabyte takes a fifth of a second: on the event
        # loop every stream and heartbeat would stand still for so long.
        picture: ConfigurationSnapshot = await curio.run_in_thread(
            self.resolver.record,
            [DocumentEntry(*each) for each in entries],
        )
        for listener in self._listeners:
            listener(picture)
        if picture.digest != before:
            self._announcer.tell_picture(picture, self.revision)
