"""Fleet node: peer messaging, membership, configuration and hosts."""

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
from ospreyford.node.fleethosts import FleetHosts, HostDependencies
from ospreyford.node.pauses import PauseGuard
from ospreyford.node.platformcalls import make_document_source, make_host_source
from ospreyford.ports.clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from ospreyford.node.reporter import FleetReporter
    from ospreyford.ports.hosts import HostListener
    from ospreyford.security.keyring import Keyring
    from ospreyford.settings.programs import AgentSettings, EntrySettings

DOCUMENTS_PAYLOAD = 'documents'
REPORT_INTERVAL_SECONDS = 1.0


class FleetNode:
    """Maintains this process's membership, configuration and host data.

    :param settings: the program's settings.
    :param role: ``entry`` or ``backend``.
    :param service: the backend server's service, or empty.
    :param reporter: records changes.
    :param stop: set when a later process with the same name replaces this one.
    :param keyring: encrypts the control messages.
    """

    def __init__(
        self,
        settings: EntrySettings | AgentSettings,
        role: str,
        service: str,
        reporter: FleetReporter,
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
            make_document_source(settings.platform, reporter),
            self.peers,
            members,
            self.clock,
            self.rng,
        )
        self.configuration = Configuration(self.distributor, reporter, role)
        self.pauses = PauseGuard(self.clock, self.configuration)
        self._reporter = reporter
        self._hosts = FleetHosts(
            make_host_source(settings.platform, reporter),
            HostDependencies(
                self.membership,
                members,
                self.peers,
                self.pauses,
                self.clock,
                self.rng,
            ),
        )

    def subscribe_to_hosts(self, listener: HostListener) -> None:
        """Subscribe to changes of the hosts.

        :param listener: called with all hosts after a change.
        """
        self._hosts.subscribe(listener)

    async def start(self) -> None:
        """Listen to peers and start the tasks.

        :raises AddressUnavailable: the peer address could not be bound.
        """
        await self.peers.start()
        self.membership.subscribe(self._reporter.record_member_change)
        self.membership.attach(
            DOCUMENTS_PAYLOAD,
            self.distributor.encode_digest,
            self.distributor.handle_digest,
        )
        for task in self._list_tasks():
            await curio.spawn(task, daemon=True)

    async def stop(self) -> None:
        """Leave the membership, flush documents and stop messaging."""
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
            self._report_periodically(),
            *self._hosts.list_tasks(),
        ]

    async def _run_membership(self) -> None:
        # A process that was replaced while paused must drain and exit.
        self._reporter.record_replacement(await self.membership.run())
        await self._stop.set()

    async def _report_periodically(self) -> None:
        while True:
            self._reporter.record_member_counts(self.membership)
            self._reporter.record_pause(self.pauses)
            await self.clock.sleep(REPORT_INTERVAL_SECONDS)


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
