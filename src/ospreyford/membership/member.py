"""Members, their incarnations, versions and states."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Final, NamedTuple

from ospreyford.ports.clock import Clock
from ospreyford.ports.fleet import Host

#: Incarnation of a host known only from the list; less than any other.
UNKNOWN_INCARNATION: Final = ''

_MS_PER_SECOND: Final = 1000
_RANDOM_BITS: Final = 16


class MemberState(StrEnum):
    """State of a member as this process sees it."""

    live = 'live'
    suspect = 'suspect'
    leaving = 'leaving'
    dead = 'dead'


class Condition(IntEnum):
    """Probe result of a member; the greater one wins at equal counters."""

    live = 0
    suspect = 1
    dead = 2


class Member(NamedTuple):
    """One process of the system; see ``Host`` for the shared fields.

    Incarnations of one name are ordered as strings: the greater is the later
    process. Use :func:`generate_incarnation`.
    """

    name: str
    instance: str
    role: str
    zone: str
    region: str
    service: str
    data_address: str
    peer_address: str
    incarnation: str


class Version(NamedTuple):
    """Version of a member; the greater one replaces the smaller.

    Only the member itself increments ``counter``, to refute a suspicion.
    ``leaving`` is never reset within an incarnation.
    """

    incarnation: str
    leaving: bool = False
    counter: int = 0
    condition: Condition = Condition.live

    @property
    def state(self) -> MemberState:
        """The resulting state of the member."""
        if self.condition is Condition.dead:
            return MemberState.dead
        if self.leaving:
            return MemberState.leaving
        if self.condition is Condition.suspect:
            return MemberState.suspect
        return MemberState.live


@dataclass(frozen=True)
class Replaced:
    """A later process has this one's name; this one must exit.

    :param incarnation: incarnation of the later process.
    """

    incarnation: str


class StateChange(NamedTuple):
    """A state change; ``before`` is ``None`` for a new member.

    Both states may be equal if the incarnation changed.
    """

    member: Member
    before: MemberState | None
    after: MemberState


def generate_incarnation(clock: Clock, rng: random.Random) -> str:
    """Generate an incarnation, ordered by wall clock start time.

    A host whose clock is behind its predecessor's start appears replaced.

    :param clock: the wall clock.
    :param rng: random numbers.
    :returns: 16 hexadecimal digits.
    """
    started_at_ms = int(clock.wall() * _MS_PER_SECOND)
    number = started_at_ms << _RANDOM_BITS | rng.getrandbits(_RANDOM_BITS)
    return format(number, '016x')


def build_listed_member(host: Host) -> Member:
    """Build the member of a host known only from the list.

    :param host: the host.
    :returns: a member of unknown incarnation.
    """
    return Member(
        name=host.name,
        instance=host.instance,
        role=host.role,
        zone=host.zone,
        region=host.region,
        service=host.service,
        data_address=host.data_address,
        peer_address=host.peer_address,
        incarnation=UNKNOWN_INCARNATION,
    )
