"""Public interface of membership."""

from __future__ import annotations

import random
from collections.abc import Iterable

from ospreyford.membership.attachments import Consume, Provide
from ospreyford.membership.context import build_context
from ospreyford.membership.digests import Record
from ospreyford.membership.exchanges import ExchangeHandler
from ospreyford.membership.handlers import ProbeHandlers
from ospreyford.membership.hostlist import merge_listed_host
from ospreyford.membership.member import Member, MemberState, Replaced
from ospreyford.membership.probeloop import ProbeLoop
from ospreyford.membership.prober import Prober
from ospreyford.membership.repairs import Repairs
from ospreyford.membership.settings import MembershipSettings
from ospreyford.membership.summary import MembershipSummary
from ospreyford.membership.suspicions import Suspicions
from ospreyford.membership.targets import TargetSelector
from ospreyford.membership.view import Subscriber
from ospreyford.ports.clock import Clock
from ospreyford.ports.fleet import Host
from ospreyford.ports.peers import PeerPort


class Membership:
    """Failure detection and cluster membership of one process.

    :param settings: the settings.
    :param me: this process; its incarnation comes from
        :func:`ospreyford.membership.member.generate_incarnation`.
    :param peers: transport to other processes.
    :param clock: source of time.
    :param rng: random numbers.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        me: Member,
        peers: PeerPort,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._context = build_context(settings, me, clock, rng)
        self._view = self._context.view
        self.summary = MembershipSummary(self._view)
        self.counters = self._context.counters
        exchanges = ExchangeHandler(self._context)
        self._targets = TargetSelector(self._context)
        suspicions = Suspicions(self._context, self._targets)
        self._prober = Prober(
            self._context,
            exchanges,
            self._targets,
            suspicions,
            peers,
        )
        repairs = Repairs(self._context, exchanges, peers)
        self._probe_loop = ProbeLoop(
            self._context,
            self._targets,
            suspicions,
            self._prober,
            repairs,
        )
        repairs.register_handlers(peers)
        ProbeHandlers(self._context, exchanges, self._prober).register_handlers(
            peers
        )

    @property
    def me(self) -> Member:
        """The member of this process."""
        return self._view.own.member

    @property
    def replaced(self) -> Replaced | None:
        """The later process with this one's name, if any."""
        incarnation = self._view.replaced_by
        return None if incarnation is None else Replaced(incarnation)

    def members(
        self,
        role: str | None = None,
        zone: str | None = None,
    ) -> tuple[Member, ...]:
        """List the members that are live or suspect.

        Hosts known only from the list have an empty incarnation. The
        unfiltered result is cached until the view changes.

        :param role: return only members of this role.
        :param zone: return only members of this zone.
        :returns: the members, including this process.
        """
        reachable = self.summary.list_reachable()
        if role is None and zone is None:
            return reachable
        return tuple(
            member
            for member in reachable
            if role in {None, member.role} and zone in {None, member.zone}
        )

    def state_of(self, name: str) -> MemberState | None:
        """Look up a member's state.

        :param name: the member.
        :returns: its state, ``None`` if it is unknown.
        """
        record = self._view.find(name)
        return None if record is None else record.state

    def find(self, name: str) -> Member | None:
        """Look up a member.

        :param name: the member.
        :returns: the member in any state, ``None`` if it is unknown.
        """
        record = self._view.find(name)
        return None if record is None else record.member

    def inspect(self, name: str) -> Record | None:
        """Look up a member's record.

        :param name: the member.
        :returns: its read-only record, ``None`` if it is unknown.
        """
        return self._view.find(name)

    def subscribe(self, subscriber: Subscriber) -> None:
        """Subscribe to state changes, including this process's own.

        :param subscriber: called synchronously; must neither raise nor block.
        """
        self._view.subscribe(subscriber)

    def attach(self, name: str, provide: Provide, consume: Consume) -> None:
        """Piggyback payloads on probes and their responses.

        :param name: name of the payload, the same in every process.
        :param provide: called for each message sent; payloads that exceed
            ``attached_bytes`` are sent in rotation.
        :param consume: called with the sender's peer address and payload;
            must neither raise nor block.
        """
        self._context.attachments.register(name, provide, consume)

    def handle_hosts(self, hosts: Iterable[Host]) -> None:
        """Merge the platform's host list.

        Hosts missing from the list are kept, since it may be stale.

        :param hosts: the listed hosts.
        """
        for host in hosts:
            merge_listed_host(self._context, host)

    def is_stale(self) -> bool:
        """Test whether the view dates from before a pause or the start.

        :returns: whether too few members have responded since.
        """
        return self._prober.is_stale()

    def list_silent_zones(self) -> frozenset[str]:
        """List other zones without recent messages.

        :returns: the zones; their members keep their last known states.
        """
        return self._context.zone_reachability.list_silent_zones()

    async def run(self) -> Replaced:
        """Probe other members until replaced.

        :returns: the replacement; this process must exit.
        """
        while self.replaced is None:
            await self._probe_loop.run_period()
        return self.replaced

    async def leave(self) -> None:
        """Announce a planned stop to the neighbours."""
        self._view.mark_leaving(self._view.me)
        neighbours = self._targets.list_monitored()
        while neighbours:
            record = neighbours.pop()
            await self._prober.ping(record.member.peer_address, record)
