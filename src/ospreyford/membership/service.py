"""Membership as the other parts use it."""

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
    """Who is live, suspected, leaving or dead, as this process sees it.

    :param settings: the settings.
    :param me: this process; its incarnation comes from
        :func:`ospreyford.membership.member.new_incarnation`.
    :param peers: messages to other processes.
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
        #: Counts the members, for metrics.
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
        """The member that others know this process as."""
        return self._view.own.member

    @property
    def replaced(self) -> Replaced | None:
        """Tells whether a later process has this one's name."""
        incarnation = self._view.replaced_by
        return None if incarnation is None else Replaced(incarnation)

    def members(
        self,
        role: str | None = None,
        zone: str | None = None,
    ) -> tuple[Member, ...]:
        """List the members that are live or suspect.

        Hosts that were only listed yet have an empty incarnation. The whole
        list is the same object until something changes; one for a role or
        zone is made anew: keep it until told of a change.

        :param role: only those of this role.
        :param zone: only those of this zone.
        :returns: the members, this process included.
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
        :returns: the member in whatever state, ``None`` if it is unknown.
        """
        record = self._view.find(name)
        return None if record is None else record.member

    def inspect(self, name: str) -> Record | None:
        """Look up all that is known of a member, for status pages.

        :param name: the member.
        :returns: its record; not to be changed.
        """
        return self._view.find(name)

    def subscribe(self, subscriber: Subscriber) -> None:
        """Tell a subscriber of each change of state, this process's too.

        :param subscriber: called at once; must neither raise nor wait.
        """
        self._view.subscribe(subscriber)

    def attach(self, name: str, provide: Provide, consume: Consume) -> None:
        """Let another part's messages ride on probes, in both directions.

        :param name: the part's name, the same in every process.
        :param provide: called for each message sent; what does not fit
            ``attached_bytes`` together with the others' waits its turn.
        :param consume: called with the sender's peer address and what its
            ``provide`` gave; must neither raise nor wait.
        """
        self._context.attachments.register(name, provide, consume)

    def handle_hosts(self, hosts: Iterable[Host]) -> None:
        """Take in the platform's host list, however old.

        A host missing from the list is not dead for that: the list may be
        older than the host.

        :param hosts: the hosts listed.
        """
        for host in hosts:
            merge_listed_host(self._context, host)

    def is_stale(self) -> bool:
        """Tell whether what this process believes is from before a pause.

        :returns: whether too few members have answered since it started or
            woke; then nothing here should be relied on.
        """
        return self._prober.is_stale()

    def list_silent_zones(self) -> frozenset[str]:
        """List other zones that this process hears nothing from.

        Their members keep the state that they had.

        :returns: the zones.
        """
        return self._context.zone_reachability.list_silent()

    async def run(self) -> Replaced:
        """Watch the other members until replaced.

        :returns: by whom; this process must end then.
        """
        while self.replaced is None:
            await self._probe_loop.run_period()
        return self.replaced

    async def leave(self) -> None:
        """Announce a planned stop; call it before the process stops.

        The process goes on to answer probes until it ends.
        """
        self._view.mark_leaving(self._view.me)
        neighbours = self._targets.list_monitored()
        while neighbours:
            record = neighbours.pop()
            await self._prober.ping(record.member.peer_address, record)
