"""Live peers, and which of them read the service."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from random import Random
from typing import Generic, Protocol, TypeVar

import xxhash


class Member(Protocol):
    """One process, as membership sees it."""

    @property
    def name(self) -> str:
        """The process's lasting name."""

    @property
    def peer_address(self) -> str:
        """Where it takes messages of peers, as ``ip:port``."""

    @property
    def zone(self) -> str:
        """Its availability zone."""


class Members(Protocol):
    """The live processes, this one among them or not."""

    def members(self) -> Sequence[Member]:
        """List the live processes.

        :returns: the members; views of two processes may differ.
        """


AnyMember = TypeVar('AnyMember', bound=Member)


class CachedMembers(Generic[AnyMember]):
    """Keeps a list of members until it changes.

    Every round of rumours asks for the members; making a list of thousands
    anew each time would cost a process more than the rounds themselves.

    :param fetch: makes the list.
    """

    def __init__(self, fetch: Callable[[], Sequence[AnyMember]]) -> None:
        self._fetch = fetch
        self._cached: Sequence[AnyMember] | None = None

    def members(self) -> Sequence[AnyMember]:
        """List the live processes.

        :returns: the list as it was fetched since the last change.
        """
        if self._cached is None:
            self._cached = self._fetch()
        return self._cached

    def invalidate(self, *_change: object) -> None:
        """Fetch the list again next time; subscribe this to membership.

        :param _change: whatever the membership tells.
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

        :returns: how many there are beside this process.
        """
        return sum(
            1 for one in self._members.members() if one.name != self._me.name
        )

    def sample_addresses(self, count: int) -> list[str]:
        """Choose random peers.

        :param size: how many at most.
        :returns: their addresses.
        """
        members = self._members.members()
        chosen = self._rng.sample(members, min(count + 1, len(members)))
        others = [
            one.peer_address for one in chosen if one.name != self._me.name
        ]
        return others[:count]

    def count_zone_members(self) -> int:
        """Count the processes of this zone, with this one.

        :returns: at least 1.
        """
        return 1 + sum(
            one.zone == self._me.zone and one.name != self._me.name
            for one in self._members.members()
        )

    def is_reader(self, reader_count: int, term: int) -> bool:
        """Tell whether this process is among its zone's readers.

        Rendezvous hashing: every process of a zone ranks all by a hash, and
        the first ones read. Views that differ in a few members choose the
        same readers but for those few.

        :param readers: how many a zone has.
        :param term: number of the term; another one ranks anew.
        :returns: whether to read.
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
        """List the peers that :meth:`reads` chooses, as this process sees it.

        :param readers: how many a zone has.
        :param term: number of the term.
        :returns: their addresses; this process is left out.
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
