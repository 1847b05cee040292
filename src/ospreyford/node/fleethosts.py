"""The hosts of the fleet, as one process keeps and relays them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ospreyford.distribution.members import Neighbours
from ospreyford.hosts.known import MAX_QUERIED_LISTINGS, KnownHosts, LabelScope
from ospreyford.hosts.queries import HostQueries
from ospreyford.hosts.reader import HostReader
from ospreyford.hosts.readings import Readings

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine, Sequence
    from typing import Any

    from ospreyford.distribution.members import CachedMembers
    from ospreyford.membership.member import Member, MemberState
    from ospreyford.membership.service import Membership
    from ospreyford.node.pauses import PauseGuard
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.fleet import Host
    from ospreyford.ports.hosts import HostListener, HostListPort
    from ospreyford.ports.peers import PeerPort

HOSTS_PAYLOAD = 'hosts'
NOTIFY_INTERVAL_SECONDS = 2.0
ENTRY_ROLE = 'entry'


class HostDependencies(NamedTuple):
    """What the hosts are kept with.

    :param membership: who is live.
    :param members: its members, kept until one changes.
    :param peers: questions and answers between processes.
    :param pauses: counts the pauses of this process.
    :param clock: source of time.
    :param rng: random numbers.
    """

    membership: Membership
    members: CachedMembers[Member]
    peers: PeerPort
    pauses: PauseGuard
    clock: Clock
    rng: random.Random


class FleetHosts:
    """Joins readings of the host list, membership and others' listings.

    :param source: the host list.
    :param dependencies: the other parts of the process.
    """

    def __init__(
        self, source: HostListPort, dependencies: HostDependencies
    ) -> None:
        me = dependencies.membership.me
        self._dependencies = dependencies
        self._known = KnownHosts(
            LabelScope(me.name, me.role == ENTRY_ROLE), self
        )
        self._listeners: list[HostListener] = []
        neighbours = Neighbours(me, dependencies.members, dependencies.rng)
        readings = Readings(dependencies.clock)
        self._reader = HostReader(
            source,
            self._handle_list,
            neighbours,
            readings,
            self,
            dependencies.clock,
            dependencies.rng,
        )
        self._queries = HostQueries(
            self._known,
            neighbours,
            dependencies.peers,
            dependencies.clock,
            dependencies.rng,
        )
        dependencies.membership.subscribe(self._known.handle_member_change)
        dependencies.membership.attach(
            HOSTS_PAYLOAD, readings.provide, readings.consume
        )

    def subscribe(self, listener: HostListener) -> None:
        """Have the hosts told whenever any of them changed.

        :param listener: called with all hosts.
        """
        self._listeners.append(listener)

    def list_tasks(self) -> list[Coroutine[Any, Any, object]]:
        """List what runs for ever.

        :returns: coroutines, not started yet.
        """
        return [
            self._reader.run(),
            self._queries.run(),
            self._run_notifications(),
        ]

    def members(self) -> Sequence[Member]:
        """List the live and suspected members.

        :returns: the members.
        """
        return self._dependencies.members.members()

    def find(self, name: str) -> Member | None:
        """Look up a member.

        :param name: the member.
        :returns: the member, in whatever state.
        """
        return self._dependencies.membership.find(name)

    def state_of(self, name: str) -> MemberState | None:
        """Look up a member's state.

        :param name: the member.
        :returns: its state, ``None`` if it is unknown.
        """
        return self._dependencies.membership.state_of(name)

    def count_pauses(self) -> int:
        """Count the pauses of this process.

        :returns: how many so far.
        """
        return self._dependencies.pauses.pause_count

    def has_many_missing(self) -> bool:
        """Tell whether reading the list costs less than asking others.

        :returns: whether so many listings are lacking.
        """
        return len(self._known.missing) > MAX_QUERIED_LISTINGS

    def _handle_list(self, hosts: tuple[Host, ...]) -> None:
        self._dependencies.membership.handle_hosts(hosts)
        self._known.handle_list(hosts, self._dependencies.clock.monotonic())
        self._notify_listeners()

    async def _run_notifications(self) -> None:
        # Not at each change: after a start or a split there are hundreds.
        while True:
            self._known.drop_unneeded(self._dependencies.clock.monotonic())
            if self._known.is_changed:
                self._notify_listeners()
            await self._dependencies.clock.sleep(NOTIFY_INTERVAL_SECONDS)

    def _notify_listeners(self) -> None:
        self._known.is_changed = False
        hosts = self._known.list_hosts()
        if hosts:
            for listener in self._listeners:
                listener(hosts)
