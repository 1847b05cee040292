"""Reading the configuration service, in the few processes that do."""

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


#: Reads of one text after one that failed: at least and at most.
TEXT_RETRIES_RANGE = (1, 3)


class ReadResult(enum.Enum):
    """How one reading of the service went."""

    current = 'current'
    behind = 'behind'
    unavailable = 'unavailable'


class ReadStart(NamedTuple):
    """What was so before the service was asked."""

    asked_at: ClockReading
    revision: int


class Reader:
    """Watches the service while this process is one of its zone's readers.

    :param state: what the process knows.
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
        """Read for ever, whenever the role is this process's."""
        while True:
            await self.run_once()

    async def run_once(self) -> None:
        """Read once, or wait a while for the role."""
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
        # The term comes from the wall clock: a wrong one gives another set
        # of readers, never more calls than the budget.
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
        # Not after the highest revision held: a rumour may have brought that
        # one ahead of an earlier change, which a watch would then skip.
        wait = state.settings.watch_seconds
        started = state.clock.monotonic()
        reply = await self._service.watch(state.complete_revision, wait)
        if not reply.changes and state.clock.monotonic() < started + wait / 2:
            # A service that answers at once without news would be called
            # again at once, as often as the budget allows.
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
        # A peer may have brought it while others were fetched.
        if self._state.replica.covers(change.name, change.revision):
            return
        if change.deleted:
            entry = Entry(change.name, change.revision, b'', deleted=True)
        else:
            entry = await self._fetch_text(change)
        self._state.apply((entry,), announce=self._state.bootstrapped)

    async def _fetch_text(self, change: Change) -> Entry:
        # Replicas of the service that answer in turn: where each watch meets
        # the one that is ahead, each read that follows meets the one behind,
        # and a reader that then watched again would do so for ever; nobody
        # learns of the change. The next read meets another replica, and a
        # number of reads that varies keeps step with no number of replicas.
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
        is_current = all(
            state.replica.covers(change.name, change.revision)
            for change in changes
        )
        # An older replica of the service answered one of the calls. What it
        # gave has been refused by the marks; nothing is concluded from it.
        if not is_current or revision < start.revision:
            state.counters.service_stale += 1
            return ReadResult.behind
        if not state.bootstrapped and not self._permit.is_valid():
            return ReadResult.behind
        state.raise_complete_revision(revision)
        state.mark_bootstrapped()
        state.freshness.record_check(start.asked_at)
        return ReadResult.current
