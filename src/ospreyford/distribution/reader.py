"""Reader of the configuration service, active on elected processes."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.distribution.budget import Backoff, CallBudget
from ospreyford.distribution.entries import Entry
from ospreyford.distribution.service import (
    Change,
    DocumentService,
    ServiceUnavailable,
)

if TYPE_CHECKING:
    from ospreyford.distribution.bootstrap import ColdStartPermit
    from ospreyford.distribution.freshness import ClockReading
    from ospreyford.distribution.members import Neighbours
    from ospreyford.distribution.state import State


#: Minimum and maximum number of retries after a failed read of a text.
TEXT_RETRIES_RANGE = (1, 3)


class ReadResult(enum.Enum):
    """Result of one read of the service."""

    current = 'current'
    behind = 'behind'
    unavailable = 'unavailable'


class ReadStart(NamedTuple):
    """Clocks and highest revision known before a request to the service."""

    asked_at: ClockReading
    revision: int


class Reader:
    """Watches the service while this process is one of its zone's readers.

    :param state: the process's documents.
    :param service: the configuration service.
    :param neighbours: the members in view.
    :param permit: whether a fresh process may trust the service.
    :param rng: for jitter.
    """

    def __init__(
        self,
        state: State,
        service: DocumentService,
        neighbours: Neighbours,
        permit: ColdStartPermit,
        rng: Random,
    ) -> None:
        self._state = state
        self._service = service
        self._neighbours = neighbours
        self._permit = permit
        self._budget = CallBudget(state.settings, state.clock, neighbours, rng)
        self._backoff = Backoff(state.settings, rng)
        self._rng = rng
        self._was_reader = False

    async def run(self) -> None:
        """Read forever, whenever this process is a reader."""
        while True:
            await self.run_once()

    async def run_once(self) -> None:
        """Read once, or wait before checking the role again."""
        clock = self._state.clock
        if not self._may_read():
            self._was_reader = False
            await clock.sleep(self._state.settings.role_seconds)
            return
        if not self._was_reader:
            self._was_reader = True
            self._budget.reset()
        if await self._read() is ReadResult.current:
            self._backoff.reset()
        else:
            await clock.sleep(self._backoff.record_failure())

    def _may_read(self) -> bool:
        settings = self._state.settings
        if not (self._state.bootstrapped or self._permit.is_valid()):
            return False
        # A wrong wall clock changes the elected readers, but the budget still
        # bounds the calls.
        term = int(self._state.clock.wall() // settings.rotation_seconds)
        return self._neighbours.is_reader(settings.readers_per_zone, term)

    async def _read(self) -> ReadResult:
        await self._budget.acquire()
        start = ReadStart(
            self._state.freshness.read_clocks(),
            max(self._state.complete_revision, self._state.replica.revision),
        )
        try:
            revision, changes = await self._fetch_changes()
            await self._apply_changes(changes)
        except ServiceUnavailable:
            self._state.counters.service_failures += 1
            return ReadResult.unavailable
        return self._evaluate_read(revision, changes, start)

    async def _fetch_changes(self) -> tuple[int, Sequence[Change]]:
        state = self._state
        state.counters.service_calls += 1
        if state.complete_revision < 0:
            listing = await self._service.list_documents()
            return listing.revision, [
                Change(name=name, revision=one.revision, deleted=one.deleted)
                for name, one in listing.documents.items()
            ]
        # Not the highest revision held: a rumour may be ahead of an earlier
        # change, which the watch would then skip.
        wait = state.settings.watch_seconds
        started = state.clock.monotonic()
        reply = await self._service.watch(state.complete_revision, wait)
        if not reply.changes and state.clock.monotonic() < started + wait / 2:
            # Back off from a service that returns early without changes.
            raise ServiceUnavailable
        return reply.revision, reply.changes

    async def _apply_changes(self, changes: Sequence[Change]) -> None:
        missing = [
            change
            for change in reversed(changes)
            if not self._state.replica.covers(change.name, change.revision)
        ]
        while missing:
            await self._apply_change(missing.pop())

    async def _apply_change(self, change: Change) -> None:
        # A peer may have pushed it in the meantime.
        if self._state.replica.covers(change.name, change.revision):
            return
        if change.deleted:
            entry = Entry(change.name, change.revision, b'', deleted=True)
        else:
            entry = await self._fetch_text(change)
        self._state.apply((entry,), announce=self._state.bootstrapped)

    async def _fetch_text(self, change: Change) -> Entry:
        # Round-robin load balancing of the service may send each watch to a
        # current replica and each read to a stale one. A random number of
        # retries avoids staying in phase with the replicas.
        entry = await self._try_read_text(change)
        if entry is not None:
            return entry
        remaining_reads = self._rng.randint(*TEXT_RETRIES_RANGE)
        while entry is None and remaining_reads > 1:
            remaining_reads -= 1
            entry = await self._try_read_text(change)
        return entry or await self._read_text(change.name)

    async def _try_read_text(self, change: Change) -> Entry | None:
        try:
            entry = await self._read_text(change.name)
        except ServiceUnavailable:
            self._state.counters.service_failures += 1
            return None
        return None if entry.revision < change.revision else entry

    async def _read_text(self, name: str) -> Entry:
        await self._budget.acquire()
        if not self._may_read():
            raise ServiceUnavailable
        self._state.counters.service_calls += 1
        reply = await self._service.read_document(name)
        return Entry(name, reply.revision, reply.text)

    def _evaluate_read(
        self, revision: int, changes: Sequence[Change], start: ReadStart
    ) -> ReadResult:
        state = self._state
        is_up_to_date = all(
            state.replica.covers(change.name, change.revision)
            for change in changes
        )
        # A stale replica of the service answered one of the calls.
        if not is_up_to_date or revision < start.revision:
            state.counters.service_stale += 1
            return ReadResult.behind
        if not state.bootstrapped and not self._permit.is_valid():
            return ReadResult.behind
        state.raise_complete_revision(revision)
        state.mark_bootstrapped()
        state.freshness.record_check(start.asked_at)
        return ReadResult.current
