"""The membership view of one process."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum, auto

from ospreyford.membership.counters import MembershipCounters
from ospreyford.membership.digests import Digests, Record
from ospreyford.membership.gossip import GossipQueue
from ospreyford.membership.member import (
    Member,
    MemberState,
    StateChange,
    Version,
)
from ospreyford.ports.clock import Clock

Subscriber = Callable[[StateChange], None]


class Merged(Enum):
    """Result of merging a received version."""

    applied = auto()
    old = auto()
    #: The incarnation is unknown and its description is missing.
    undescribed = auto()


class View:
    """All members, merged independently of the order of messages.

    The greater of two versions wins. This process refutes greater versions of
    itself, or finds that it is replaced.

    :param me: this process.
    :param clock: source of time.
    :param gossip: queue of updates to send.
    :param counters: counts refutations.
    """

    def __init__(
        self,
        me: Member,
        clock: Clock,
        gossip: GossipQueue,
        counters: MembershipCounters,
    ) -> None:
        self.replaced_by: str | None = None
        #: Incremented by every change, to invalidate caches.
        self.revision = 0
        self.digests = Digests()
        self._clock = clock
        self._gossip = gossip
        self._counters = counters
        self._subscribers: list[Subscriber] = []
        self._records: dict[str, Record] = {}
        self.me = me.name
        self._store(me, Version(me.incarnation), with_description=True)

    @property
    def own(self) -> Record:
        """The record of this process itself."""
        return self._records[self.me]

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[Record]:
        """Iterate over all records, including this process's own."""
        return iter(self._records.values())

    def find(self, name: str) -> Record | None:
        """Find a member's record.

        :param name: the member.
        :returns: its record, if known.
        """
        return self._records.get(name)

    def subscribe(self, subscriber: Subscriber) -> None:
        """Subscribe to state changes.

        :param subscriber: called synchronously by the task that merges.
        """
        self._subscribers.append(subscriber)

    def merge(
        self,
        name: str,
        version: Version,
        member: Member | None = None,
    ) -> Merged:
        """Apply a version if it is greater than the known one.

        :param name: the member.
        :param version: the received version.
        :param member: the received description, if any.
        :returns: the result.
        """
        if name == self.me:
            return self._refute(version)
        record = self._records.get(name)
        if record is not None and version <= record.version:
            return Merged.old
        is_same_incarnation = record is not None and (
            record.version.incarnation == version.incarnation
        )
        if member is None and record is not None and is_same_incarnation:
            member = record.member
        if member is None:
            return Merged.undescribed
        self._store(member, version, with_description=not is_same_incarnation)
        return Merged.applied

    def store_listed(self, member: Member, version: Version) -> None:
        """Store a host that is known only from the host list.

        :param member: the host as a member.
        :param version: its version, with an unknown incarnation.
        """
        self._store(member, version, with_description=False)

    def mark_leaving(self, name: str) -> None:
        """Mark a member as leaving.

        :param name: the member, or this process.
        """
        record = self._records[name]
        if not record.version.leaving:
            self.merge(name, record.version._replace(leaving=True))

    def backdate_death(self, name: str, dead_seconds: float) -> None:
        """Set the time of a member's death, as reported by others.

        :param name: the member.
        :param dead_seconds: time since its death.
        """
        record = self._records[name]
        if record.state is MemberState.dead:
            record.since = self._clock.monotonic() - dead_seconds

    def forget(self, record: Record) -> None:
        """Forget a member.

        :param record: its record.
        """
        self.digests.remove(record)
        self._gossip.discard(record.member.name)
        self._records.pop(record.member.name)
        self.revision += 1

    def _refute(self, version: Version) -> Merged:
        own = self.own
        if version.incarnation > own.version.incarnation:
            # A later process has this name; this one must exit.
            self.replaced_by = version.incarnation
            return Merged.applied
        if version <= own.version:
            return Merged.old
        # Only a higher counter overrides a suspicion.
        counter = max(version.counter, own.version.counter) + 1
        leaving = version.leaving or own.version.leaving
        self._counters.refutations += 1
        refuted = Version(own.version.incarnation, leaving, counter)
        self._store(own.member, refuted, with_description=False)
        return Merged.applied

    def _store(
        self, member: Member, version: Version, *, with_description: bool
    ) -> None:
        previous = self._records.get(member.name)
        if previous is not None:
            self.digests.remove(previous)
        record = Record(member, version, self._clock.monotonic())
        self._records[member.name] = record
        # Others read the same host list; only its dead hosts are gossiped.
        if not record.is_listed_only or record.state is MemberState.dead:
            self.digests.add(record)
            self._gossip.enqueue(member.name, with_description=with_description)
        self.revision += 1
        self._notify_subscribers(previous, record)

    def _notify_subscribers(self, before: Record | None, after: Record) -> None:
        if (
            before is not None
            and before.state is after.state
            and before.member == after.member
        ):
            return
        change = StateChange(
            after.member,
            None if before is None else before.state,
            after.state,
        )
        for subscriber in self._subscribers:
            subscriber(change)
