"""One process's part in the fleet: peers, membership, documents, hosts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import curio

from ospreyford.distribution.client import ServiceClient
from ospreyford.distribution.distributor import Distributor
from ospreyford.distribution.members import CachedMembers
from ospreyford.distribution.service import DocumentSource
from ospreyford.documents.parsing import is_well_formed
from ospreyford.membership.member import Member, new_incarnation
from ospreyford.membership.service import Membership
from ospreyford.node.configuration import Configuration
from ospreyford.node.pauses import PauseGuard
from ospreyford.peers.node import PeerNode
from ospreyford.peers.settings import PeerSettings
from ospreyford.platform.hostlist import HostListClient, watch_hosts
from ospreyford.ports.clock import SystemClock
from ospreyford.settings.types import split_address

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from ospreyford.node.announcer import Announcer
    from ospreyford.ports.fleet import Host
    from ospreyford.ports.hosts import HostListener
    from ospreyford.settings.programs import AgentSettings, EntrySettings

DIGEST = 'documents'
HOSTS_SECONDS = 2.0
#: Readings of the host list by the whole fleet together, each second.
HOST_READS_PER_SECOND = 100
COUNT_SECONDS = 1.0


class FleetNode:
    """Keeps this process in the fleet and its documents current.

    :param settings: the program's settings.
    :param role: ``entry`` or ``backend``.
    :param service: the backend server's service, or empty.
    :param announcer: told of changes.
    :param stop: set when a later process has this one's name, so that this
        one must end.
    """

    def __init__(
        self,
        settings: EntrySettings | AgentSettings,
        role: str,
        service: str,
        announcer: Announcer,
        stop: curio.Event,
    ) -> None:
        self._stop = stop
        self.clock = SystemClock()
        self.rng = random.Random()
        self.incarnation = new_incarnation(self.clock, self.rng)
        self.peers = PeerNode(
            PeerSettings(address=settings.listen.peer_address),
            self.incarnation,
        )
        me = _make_member(settings, role, service, self.incarnation)
        self.membership = Membership(
            settings.membership,
            me,
            self.peers,
            self.clock,
            self.rng,
        )
        members = CachedMembers(self.membership.members)
        self.membership.subscribe(members.forget)
        self.distributor = Distributor(
            settings.distribution,
            me,
            DocumentSource(
                ServiceClient(*split_address(settings.platform.config_service)),
                is_well_formed,
            ),
            self.peers,
            members,
            self.clock,
            self.rng,
        )
        self.configuration = Configuration(self.distributor, announcer, role)
        self.pauses = PauseGuard(self.clock, self.distributor)
        self._announcer = announcer
        self._hosts = HostListClient(
            *split_address(settings.platform.host_list),
        )
        self._listeners: list[HostListener] = [self.membership.note_hosts]

    def listen_for_hosts(self, listener: HostListener) -> None:
        """Have each newly read host list told.

        :param listener: called with the hosts.
        """
        self._listeners.append(listener)

    async def start(self) -> None:
        """Listen to peers and start the tasks.

        :raises AddressUnavailable: the peer address could not be bound.
        """
        await self.peers.start()
        self.membership.subscribe(self._announcer.tell_member)
        self.membership.attach(
            DIGEST,
            self.distributor.digest,
            self.distributor.note_digest,
        )
        for task in self._list_tasks():
            await curio.spawn(task, daemon=True)

    async def stop(self) -> None:
        """Announce the planned stop to the peers, and go."""
        await self.membership.leave()
        await self.distributor.flush()
        await self.peers.stop()

    def _list_tasks(self) -> list[Coroutine[Any, Any, object]]:
        hosts = watch_hosts(
            self._hosts,
            self._take_hosts,
            self.clock,
            self.rng,
            self._pace_hosts,
        )
        return [
            self._run_membership(),
            self.distributor.run_gossip(),
            self.distributor.run_reader(),
            self.configuration.run_bootstrap(),
            self.configuration.run(),
            self.pauses.run(),
            self._count(),
            hosts,
        ]

    async def _run_membership(self) -> None:
        # A process that slept through its own replacement would go on
        # beside its successor; it finishes what it has and ends.
        self._announcer.tell_replaced(await self.membership.run())
        await self._stop.set()

    async def _count(self) -> None:
        while True:
            self._announcer.count_members(self.membership)
            self._announcer.tell_pause(self.pauses)
            await self.clock.sleep(COUNT_SECONDS)

    def _pace_hosts(self) -> float:
        # The platform's rates grow more slowly than the fleet: the interval
        # grows with it, and a leaving mark that one process has read reaches
        # the others with the membership's own messages.
        size = len(self.membership.members())
        return max(HOSTS_SECONDS, size / HOST_READS_PER_SECOND)

    def _take_hosts(self, hosts: tuple[Host, ...]) -> None:
        for listener in self._listeners:
            listener(hosts)


def _make_member(
    settings: EntrySettings | AgentSettings,
    role: str,
    service: str,
    incarnation: str,
) -> Member:
    identity = settings.identity
    return Member(
        name=identity.name,
        instance=identity.instance,
        role=role,
        zone=identity.zone,
        region=identity.region,
        service=service,
        data_address=settings.listen.data_address,
        peer_address=settings.listen.peer_address,
        incarnation=incarnation,
    )
