"""State shared by the components of membership."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from ospreyford.membership.attachments import Attachments
from ospreyford.membership.counters import MembershipCounters
from ospreyford.membership.digests import Record
from ospreyford.membership.gossip import GossipQueue
from ospreyford.membership.member import Member, MemberState
from ospreyford.membership.messages import Description, encode_description
from ospreyford.membership.pauses import PauseDetector
from ospreyford.membership.rings import Rings
from ospreyford.membership.settings import MembershipSettings
from ospreyford.membership.view import Merged, View
from ospreyford.membership.zones import ZoneReachability
from ospreyford.ports.clock import Clock


@dataclass
class MembershipContext:
    """State shared by the components of one membership.

    :param settings: the settings.
    :param view: the members.
    :param gossip: updates to send.
    :param attachments: payloads piggybacked on probes.
    :param counters: the counters.
    :param clock: source of time.
    :param rng: random numbers.
    :param pause_detector: detects pauses of this process.
    :param rings: assigns probe targets.
    :param zone_reachability: tracks failed probes into other zones.
    :param unconfirmed_addresses: peer addresses of listed instances that
        differ from the known ones, by host name.
    """

    settings: MembershipSettings
    view: View
    gossip: GossipQueue
    attachments: Attachments
    counters: MembershipCounters
    clock: Clock
    rng: random.Random
    pause_detector: PauseDetector
    rings: Rings
    zone_reachability: ZoneReachability
    unconfirmed_addresses: dict[str, str] = field(default_factory=dict)

    @property
    def zone(self) -> str:
        """The zone of this process."""
        return self.view.own.member.zone

    def describe(self, record: Record) -> Description:
        """Encode a record.

        :param record: the record.
        :returns: its description.
        """
        is_dead = record.state is MemberState.dead
        age = self.clock.monotonic() - record.since
        return encode_description(
            record.member,
            record.version,
            age if is_dead else 0,
        )

    def merge_description(self, description: Description) -> None:
        """Merge a received description into the view.

        :param description: the description.
        """
        merged = self.view.merge(
            description.name,
            description.to_version(),
            description.to_member(),
        )
        if merged is Merged.applied and description.name != self.view.me:
            self.view.backdate_death(description.name, description.dead_seconds)


def build_context(
    settings: MembershipSettings,
    me: Member,
    clock: Clock,
    rng: random.Random,
) -> MembershipContext:
    """Build the state of a process that knows only itself.

    :param settings: the settings.
    :param me: this process.
    :param clock: source of time.
    :param rng: random numbers.
    :returns: the shared state.
    """
    counters = MembershipCounters()
    gossip = GossipQueue(settings.retransmit)
    view = View(me, clock, gossip, counters)
    return MembershipContext(
        settings=settings,
        view=view,
        gossip=gossip,
        attachments=Attachments(settings.attached_bytes, counters),
        counters=counters,
        clock=clock,
        rng=rng,
        pause_detector=PauseDetector(clock, settings.pause_seconds),
        rings=Rings(view, settings.rings),
        zone_reachability=ZoneReachability(),
    )
