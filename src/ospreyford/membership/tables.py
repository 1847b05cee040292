"""What the parts of one process's membership share."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from ospreyford.membership.attachments import Attachments
from ospreyford.membership.counters import MembershipCounters
from ospreyford.membership.digests import Record
from ospreyford.membership.gossip import Gossip
from ospreyford.membership.member import Member, MemberState
from ospreyford.membership.messages import Description, write_description
from ospreyford.membership.pulse import Pulse
from ospreyford.membership.rings import Rings
from ospreyford.membership.settings import MembershipSettings
from ospreyford.membership.view import Merged, View
from ospreyford.membership.zones import ZoneSilence
from ospreyford.ports.clock import Clock


@dataclass
class Tables:
    """What the parts of one membership share.

    :param settings: the settings.
    :param view: the members.
    :param gossip: changes to pass on.
    :param attachments: other parts' slots.
    :param counters: the counters.
    :param clock: source of time.
    :param rng: random numbers.
    :param pulse: notices pauses of this process.
    :param rings: who watches whom.
    :param zones: tells which zones are not heard from.
    :param other_instances: by name, the peer address of a listed instance
        that is not the one known here.
    """

    settings: MembershipSettings
    view: View
    gossip: Gossip
    attachments: Attachments
    counters: MembershipCounters
    clock: Clock
    rng: random.Random
    pulse: Pulse
    rings: Rings
    zones: ZoneSilence
    other_instances: dict[str, str] = field(default_factory=dict)

    @property
    def zone(self) -> str:
        """The zone of this process."""
        return self.view.own.member.zone

    def describe(self, record: Record) -> Description:
        """Prepare a record for the wire.

        :param record: the record.
        :returns: its description.
        """
        is_dead = record.state is MemberState.dead
        age = self.clock.monotonic() - record.since
        return write_description(
            record.member,
            record.version,
            age if is_dead else 0,
        )

    def merge_description(self, description: Description) -> None:
        """Take over a description that was heard.

        :param description: the description.
        """
        merged = self.view.merge(
            description.name,
            description.version(),
            description.member(),
        )
        if merged is Merged.applied and description.name != self.view.me:
            self.view.age_death(description.name, description.dead_seconds)


def build_tables(
    settings: MembershipSettings,
    me: Member,
    clock: Clock,
    rng: random.Random,
) -> Tables:
    """Make the tables of a process that knows only itself.

    :param settings: the settings.
    :param me: this process.
    :param clock: source of time.
    :param rng: random numbers.
    :returns: the tables.
    """
    counters = MembershipCounters()
    gossip = Gossip(settings.retransmit)
    view = View(me, clock, gossip, counters)
    return Tables(
        settings=settings,
        view=view,
        gossip=gossip,
        attachments=Attachments(settings.attached_bytes, counters),
        counters=counters,
        clock=clock,
        rng=rng,
        pulse=Pulse(clock, settings.pause_seconds),
        rings=Rings(view, settings.rings),
        zones=ZoneSilence(),
    )
