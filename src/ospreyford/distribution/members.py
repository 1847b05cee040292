"""Live peers and the election of readers."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from random import Random
from typing import Generic, Protocol, TypeVar

import xxhash


class Member(Protocol):
    """A process in the membership view."""

    @property
    def name(self) -> str:
        """The process's name, stable across restarts."""

    @property
    def peer_address(self) -> str:
        """Its address for peer messages, as ``ip:port``."""

    @property
    def zone(self) -> str:
        """Its availability zone."""


class Members(Protocol):
    """The live processes, with or without this one."""

    def members(self) -> Sequence[Member]:
        """List the live processes.

        :returns: the members; views of two processes may differ.
        """


AnyMember = TypeVar('AnyMember', bound=Member)


class CachedMembers(Generic[AnyMember]):
    """Caches the list of members until it changes.

    Each gossip round reads the members, and building a list of thousands costs
    more than the round.

    :param fetch: builds the list.
    """

    def __init__(self, fetch: Callable[[], Sequence[AnyMember]]) -> None:
        self._fetch = fetch
        self._cached: Sequence[AnyMember] | None = None

    def members(self) -> Sequence[AnyMember]:
        """List the live processes.

        :returns: the list as of the last change.
        """
        if self._cached is None:
            self._cached = self._fetch()
        return self._cached

    def invalidate(self, *_change: object) -> None:
        """Discard the cached list; subscribe this to membership changes.

        :param _change: the membership event, ignored.
        """
        self._cached = None


class Neighbours:
    """The peers of one process.

    :param me: this process.
    :param members: the live processes.
    :param rng: for random choices.
    """

    def __init__(self, me: Member, members: Members, rng: Random) -> None:
        self._me = me
        self._members = members
        self._rng = rng

    def count_peers(self) -> int:
        """Count the live peers.

        :returns: their number, without this process.
        """
        return sum(
            1 for one in self._members.members() if one.name != self._me.name
        )

    def sample_addresses(self, count: int) -> list[str]:
        """Sample random peers.

        :param count: maximum number.
        :returns: their addresses.
        """
        members = self._members.members()
        chosen = self._rng.sample(members, min(count + 1, len(members)))
        others = [
            one.peer_address for one in chosen if one.name != self._me.name
        ]
        return others[:count]

    def count_zone_members(self) -> int:
        """Count the processes of this zone, including this one.

        :returns: at least 1.
        """
        return 1 + sum(
            one.zone == self._me.zone and one.name != self._me.name
            for one in self._members.members()
        )

    def is_reader(self, reader_count: int, term: int) -> bool:
        """Tell whether this process is among its zone's readers.

        The readers are elected by rendezvous hashing, so that views differing
        in a few members elect nearly the same readers.

        :param reader_count: readers per zone.
        :param term: number of the term; each has its own ranking.
        :returns: whether this process is a reader.
        """
        own_rank = _compute_rank(self._me.name, term)
        ahead = 0
        for one in self._members.members():
            if one.zone == self._me.zone and one.name != self._me.name:
                ahead += _compute_rank(one.name, term) > own_rank
            if ahead >= reader_count:
                return False
        return True

    def list_reader_addresses(self, reader_count: int, term: int) -> list[str]:
        """List the zone's readers by the view of this process.

        :param reader_count: readers per zone.
        :param term: number of the term.
        :returns: their addresses, without this process.
        """
        zone = [
            one for one in self._members.members() if one.zone == self._me.zone
        ]
        chosen = heapq.nlargest(
            reader_count, zone, key=lambda one: _compute_rank(one.name, term)
        )
        return [one.peer_address for one in chosen if one.name != self._me.name]


def _compute_rank(name: str, term: int) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{term}/{name}'.encode()), name
