"""Members, their incarnations and states."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Final, NamedTuple

from ospreyford.ports.clock import Clock
from ospreyford.ports.fleet import Host

#: The incarnation of a host that is only listed; before every real one.
UNKNOWN_INCARNATION: Final = ''

_MS_PER_SECOND: Final = 1000
_RANDOM_BITS: Final = 16


class MemberState(StrEnum):
    """What this process believes of a member."""

    live = 'live'
    suspect = 'suspect'
    leaving = 'leaving'
    dead = 'dead'


class Condition(IntEnum):
    """How a member answers; the greater one wins at the same counter."""

    live = 0
    suspect = 1
    dead = 2


class Member(NamedTuple):
    """One process of the system; see ``Host`` for the shared fields.

    Incarnations of one name are ordered as strings: the greater is the later
    process. Use :func:`new_incarnation`.
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
    """What is known of a member; the greater version replaces the smaller.

    Only the member itself raises ``counter`` (to refute a suspicion), and
    nothing takes ``leaving`` back, so a leaving incarnation is never live
    again, and an older incarnation never replaces a newer one.
    """

    incarnation: str
    leaving: bool = False
    counter: int = 0
    condition: Condition = Condition.live

    @property
    def state(self) -> MemberState:
        """The state that others act on."""
        if self.condition is Condition.dead:
            return MemberState.dead
        if self.leaving:
            return MemberState.leaving
        if self.condition is Condition.suspect:
            return MemberState.suspect
        return MemberState.live


@dataclass(frozen=True)
class Replaced:
    """A later process has this one's name; this one must end.

    :param incarnation: the later process's.
    """

    incarnation: str


class StateChange(NamedTuple):
    """A change that subscribers are told; ``before`` is ``None`` if new.

    With a new incarnation of the same name both states may be the same.
    """

    member: Member
    before: MemberState | None
    after: MemberState


def generate_incarnation(clock: Clock, rng: random.Random) -> str:
    """Name this process's life, later than every earlier one of its name.

    The order rests on the wall clock: a host whose clock is behind its
    predecessor's start is told that it is replaced.

    :param clock: the wall clock.
    :param rng: random numbers.
    :returns: 16 hexadecimal digits, ordered by the time of the start.
    """
    started_at_ms = int(clock.wall() * _MS_PER_SECOND)
    number = started_at_ms << _RANDOM_BITS | rng.getrandbits(_RANDOM_BITS)
    return format(number, '016x')


def build_listed_member(host: Host) -> Member:
    """Describe a host of which nothing but its listing is known.

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
