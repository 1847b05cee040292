"""Host data of the fleet, kept and relayed by each process."""

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
    """Dependencies of ``FleetHosts``.

    :param membership: the fleet's membership.
    :param members: cached members of the fleet.
    :param peers: messages to other processes.
    :param pauses: the pause guard.
    :param clock: source of time.
    :param rng: random number generator.
    """

    membership: Membership
    members: CachedMembers[Member]
    peers: PeerPort
    pauses: PauseGuard
    clock: Clock
    rng: random.Random


class FleetHosts:
    """Merges the host list, membership and listings of other processes.

    :param source: the host list.
    :param dependencies: other components of the process.
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
        """Subscribe to changes of the hosts.

        :param listener: called with all hosts after a change.
        """
        self._listeners.append(listener)

    def list_tasks(self) -> list[Coroutine[Any, Any, object]]:
        """List the background tasks.

        :returns: coroutines that have not been started.
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

        :param name: the member's name.
        :returns: the member in any state, or ``None`` if unknown.
        """
        return self._dependencies.membership.find(name)

    def state_of(self, name: str) -> MemberState | None:
        """Look up a member's state.

        :param name: the member's name.
        :returns: its state, or ``None`` if unknown.
        """
        return self._dependencies.membership.state_of(name)

    def count_pauses(self) -> int:
        """Count the pauses of this process.

        :returns: their number since the start.
        """
        return self._dependencies.pauses.pause_count

    def has_many_missing(self) -> bool:
        """Check whether reading the list is cheaper than querying peers.

        :returns: whether too many listings are missing for queries.
        """
        return len(self._known.missing) > MAX_QUERIED_LISTINGS

    def _handle_list(self, hosts: tuple[Host, ...]) -> None:
        self._dependencies.membership.handle_hosts(hosts)
        self._known.handle_list(hosts, self._dependencies.clock.monotonic())
        self._notify_listeners()

    async def _run_notifications(self) -> None:
        # Batch the hundreds of changes after a start or a partition.
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
