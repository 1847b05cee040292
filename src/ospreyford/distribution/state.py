"""Replication state of one process, shared by its tasks and handlers."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, fields
from typing import TYPE_CHECKING

from ospreyford.distribution.collector import TombstoneCollector
from ospreyford.distribution.entries import Entry, compute_fingerprint
from ospreyford.distribution.freshness import Freshness
from ospreyford.distribution.messages import Digest
from ospreyford.distribution.replica import Replica
from ospreyford.distribution.rumours import Rumours
from ospreyford.distribution.versions import Verdict

if TYPE_CHECKING:
    from ospreyford.distribution.service import WellFormedCheck
    from ospreyford.distribution.settings import DistributionSettings
    from ospreyford.ports.clock import Clock

#: Called with the changed entries, from the end of the bootstrap on.
Subscriber = Callable[[tuple[Entry, ...]], None]

NO_COMPLETE_REVISION = -1


@dataclass
class Counters:
    """Counts since the start of the process."""

    accepted: int = 0
    refused_older: int = 0
    conflicts: int = 0
    service_calls: int = 0
    service_failures: int = 0
    service_stale: int = 0
    bad_messages: int = 0
    offers: int = 0
    pushed_entries: int = 0
    push_deferred: int = 0
    tombstones_collected: int = 0
    repairs: int = 0
    pulled_entries: int = 0

    def as_dict(self) -> dict[str, int]:
        """Export the counts by name, for the metrics.

        :returns: one entry per counter.
        """
        return {one.name: getattr(self, one.name) for one in fields(self)}


class State:
    """The replica and its completeness and freshness.

    :param settings: of the distribution.
    :param clock: the process's clock.
    :param is_well_formed: validates texts.
    """

    def __init__(
        self,
        settings: DistributionSettings,
        clock: Clock,
        is_well_formed: WellFormedCheck,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.replica = Replica(is_well_formed)
        self.rumours = Rumours(settings)
        self.freshness = Freshness(settings, clock)
        self.counters = Counters()
        self.complete_revision = NO_COMPLETE_REVISION
        self.bootstrapped = False
        self._collector = TombstoneCollector(settings, clock, self.replica)
        self._subscribers: list[Subscriber] = []

    def subscribe(self, subscriber: Subscriber) -> None:
        """Subscribe to changes, from the end of the bootstrap on.

        :param subscriber: called with all entries, then with changed ones.
        """
        self._subscribers.append(subscriber)
        if self.bootstrapped:
            subscriber(tuple(self.replica))

    def apply(self, entries: Iterable[Entry], *, announce: bool = True) -> int:
        """Apply entries from the service or a peer.

        :param entries: in any order, also known or older ones.
        :param announce: whether to offer accepted entries to peers.
        :returns: number of entries accepted.
        """
        changed = [entry for entry in entries if self._accept(entry)]
        if announce:
            for entry in changed:
                self.rumours.add(entry.name)
        if self.bootstrapped and changed:
            self._notify_subscribers(tuple(changed))
        return len(changed)

    def raise_complete_revision(self, revision: int) -> None:
        """Record that every change up to a store revision is held.

        :param revision: the service's, or that of a peer whose entries are all
            held.
        """
        self.complete_revision = max(self.complete_revision, revision)

    def collect_tombstones(self) -> None:
        """Collect tombstones past their retention period."""
        if self.bootstrapped:
            floor = self._collector.select_floor(self.complete_revision)
            self.raise_floor(floor)

    def remove_obsolete(
        self, leaf: int, obsolete: Collection[int], floor: int
    ) -> None:
        """Remove versions that a peer reports as obsolete.

        The peer has collected the tombstones, so this process creates its own,
        at a revision below all current versions.

        :param leaf: the leaf that contains the versions.
        :param obsolete: their fingerprints.
        :param floor: the peer's floor.
        """
        for entry in self.replica.list_leaf_entries(leaf):
            held = self.replica.find(entry.name)
            if entry in held and compute_fingerprint(entry) in obsolete:
                newest = held[0]
                revision = floor
                if entry != newest:
                    revision = min(floor, newest.revision - 1)
                tombstone = Entry(entry.name, revision, b'', deleted=True)
                self.apply((tombstone,), announce=False)

    def raise_floor(self, floor: int) -> None:
        """Collect tombstones up to a revision.

        :param floor: a revision up to which every current version is held.
        """
        collected = self.replica.raise_floor(floor)
        self.counters.tombstones_collected += collected

    def mark_bootstrapped(self) -> None:
        """Record that the snapshot is complete, and notify subscribers."""
        if not self.bootstrapped:
            self.bootstrapped = True
            self._notify_subscribers(tuple(self.replica))

    def build_digest(self) -> Digest:
        """Build the digest.

        :returns: the digest to send to peers.
        """
        return Digest(
            revision=self.replica.revision,
            checksum=self.replica.checksum,
            complete_revision=self.complete_revision,
            bootstrapped=self.bootstrapped,
            stale=self.freshness.is_stale(),
            floor=self.replica.floor,
        )

    def _accept(self, entry: Entry) -> bool:
        verdict = self.replica.accept(entry)
        match verdict:
            case Verdict.accepted:
                self.counters.accepted += 1
            case Verdict.older:
                self.counters.refused_older += 1
            case Verdict.conflict_accepted | Verdict.conflict_refused:
                self.counters.conflicts += 1
        return verdict in {Verdict.accepted, Verdict.conflict_accepted}

    def _notify_subscribers(self, changed: tuple[Entry, ...]) -> None:
        for subscriber in self._subscribers:
            subscriber(changed)
