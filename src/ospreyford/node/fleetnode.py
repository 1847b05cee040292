"""One process's part in the fleet: peers, membership, documents, hosts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import curio

from ospreyford.distribution.distributor import Distributor
from ospreyford.distribution.members import CachedMembers
from ospreyford.membership.member import Member, generate_incarnation
from ospreyford.membership.service import Membership
from ospreyford.node.configuration import Configuration
from ospreyford.node.factory import make_peers
from ospreyford.node.fleethosts import FleetHosts, Surroundings
from ospreyford.node.pauses import PauseGuard
from ospreyford.node.platformcalls import read_documents, read_hosts
from ospreyford.ports.clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from ospreyford.node.announcer import Announcer
    from ospreyford.ports.hosts import HostListener
    from ospreyford.security.keyring import Keyring
    from ospreyford.settings.programs import AgentSettings, EntrySettings

DIGEST = 'documents'
COUNT_SECONDS = 1.0


class FleetNode:
    """Keeps this process in the fleet and its documents current.

    :param settings: the program's settings.
    :param role: ``entry`` or ``backend``.
    :param service: the backend server's service, or empty.
    :param announcer: told of changes.
    :param stop: set when a later process has this one's name, so that this
        one must end.
    :param keyring: seals the control messages.
    """

    def __init__(
        self,
        settings: EntrySettings | AgentSettings,
        role: str,
        service: str,
        announcer: Announcer,
        stop: curio.Event,
        keyring: Keyring,
    ) -> None:
        self._stop = stop
        self.clock = SystemClock()
        self.rng = random.Random()
        self.incarnation = generate_incarnation(self.clock, self.rng)
        self.peers = make_peers(settings.listen, self.incarnation, keyring)
        me = _make_member(settings, role, service, self.incarnation)
        self.membership = Membership(
            settings.membership,
            me,
            self.peers,
            self.clock,
            self.rng,
        )
        members = CachedMembers(self.membership.members)
        self.membership.subscribe(members.invalidate)
        self.distributor = Distributor(
            settings.distribution,
            me,
            read_documents(settings.platform, announcer),
            self.peers,
            members,
            self.clock,
            self.rng,
        )
        self.configuration = Configuration(self.distributor, announcer, role)
        self.pauses = PauseGuard(self.clock, self.distributor)
        self._announcer = announcer
        self._hosts = FleetHosts(
            read_hosts(settings.platform, announcer),
            Surroundings(
                self.membership,
                members,
                self.peers,
                self.pauses,
                self.clock,
                self.rng,
            ),
        )

    def listen_for_hosts(self, listener: HostListener) -> None:
        """Have the hosts told whenever any of them changed.

        :param listener: called with all hosts.
        """
        self._hosts.listen(listener)

    async def start(self) -> None:
        """Listen to peers and start the tasks.

        :raises AddressUnavailable: the peer address could not be bound.
        """
        await self.peers.start()
        self.membership.subscribe(self._announcer.tell_member)
        self.membership.attach(
            DIGEST,
            self.distributor.encode_digest,
            self.distributor.handle_digest,
        )
        for task in self._list_tasks():
            await curio.spawn(task, daemon=True)

    async def stop(self) -> None:
        """Announce the planned stop to the peers, and go."""
        await self.membership.leave()
        await self.distributor.flush()
        await self.peers.stop()

    def _list_tasks(self) -> list[Coroutine[Any, Any, object]]:
        return [
            self._run_membership(),
            self.distributor.run_gossip(),
            self.distributor.run_reader(),
            self.configuration.run_bootstrap(),
            self.configuration.run(),
            self.pauses.run(),
            self._count(),
            *self._hosts.list_tasks(),
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
