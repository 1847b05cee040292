"""Which agent coordinates a group."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from ospreyford.rebalance.versions import FENCE_AUTHOR, MAX_RANKS

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.datagrams import Address

#: Time between two heartbeats of a coordinator, in seconds.
HEARTBEAT_INTERVAL_SECONDS = 0.1
#: A coordinator that has been silent for so long is replaced, in seconds: four
#: heartbeats, of which single ones may be lost.
ELECTION_TIMEOUT_SECONDS = 0.45
#: Further wait of each next candidate, in seconds: more than a heartbeat takes
#: to arrive, so that the first one is heard before the second one begins.
CANDIDATE_STAGGER_SECONDS = 0.12
#: A candidate that has never heard of a coordinator waits for so long, in
#: seconds: three heartbeats of one that may be there.
INITIAL_TIMEOUT_SECONDS = 0.3
#: An agent that has heard nothing for so long asks whether the coordinator is
#: there, in seconds: more than two heartbeats.
HEARTBEAT_STALE_SECONDS = 0.25
MILLISECONDS_PER_SECOND = 1000


class Election:
    """Follows the coordinator with the highest token, or becomes it.

    Two agents may believe for a while that they coordinate: one that was
    paused, or two that do not hear each other. The ranks keep them apart, by
    their tokens; the election only has to end with one of them.

    :param me: this agent's address.
    :param clock: source of time.

    ``is_vacant`` tells that nobody is known to coordinate, ``is_retired`` that
    this agent never will stand again.
    """

    def __init__(self, own_address: Address, clock: Clock) -> None:
        self.token: int | None = None
        self.leader: Address | None = None
        self.previous_host: str | None = None
        self.is_vacant = True
        self._own_address = own_address
        self._clock = clock
        self.highest_token = 0
        self._last_heartbeat_at = clock.monotonic()
        self._has_members = False
        self._released_token: int | None = None
        self.is_withdrawn = False

    def is_leading(self) -> bool:
        """Tell whether this agent coordinates.

        :returns: whether it holds the highest token that it knows.
        """
        return self.token is not None

    def has_recent_heartbeat(self) -> bool:
        """Tell whether a coordinator was heard of just now.

        :returns: whether this agent can tell others who coordinates.
        """
        if self.is_leading():
            return True
        silence = self._clock.monotonic() - self._last_heartbeat_at
        return not self.is_vacant and silence < HEARTBEAT_STALE_SECONDS

    def record_members(self, members: Sequence[Address]) -> None:
        """Note the agents of the group, before the first of them is heard.

        Load pattern: all hosts start together, and one list after the other
        names the agents that have registered. Their silence counted from the
        start of each process, all 129 of them were due to stand at the moment
        at which they met the others.

        :param members: the agents of the group.
        """
        if self._has_members or not members:
            return
        self._has_members = True
        self._last_heartbeat_at = self._clock.monotonic()

    def handle_heartbeat(
        self, token: int, address: Address, *, is_relayed: bool = False
    ) -> bool:
        """Take over a coordinator's heartbeat.

        :param token: its token.
        :param address: its address.
        :param is_hearsay: whether another agent tells of it.
        :returns: whether this agent follows another one than before.
        """
        # A late heartbeat of one that has left does not bring it back.
        if token < self.highest_token or token == self._released_token:
            return False
        changed = address != self.leader
        if is_relayed and not changed:
            # Two agents would keep one alive for each other that is gone.
            return False
        self.highest_token = token
        self._last_heartbeat_at = self._clock.monotonic()
        if is_relayed:
            self._last_heartbeat_at -= HEARTBEAT_STALE_SECONDS
        self.leader = address
        self.is_vacant = False
        if address != self._own_address:
            self.token = None
        return changed

    def step_down(self) -> None:
        """Stop coordinating: a rank has refused the token."""
        self.token = None
        self.leader = None
        self.is_vacant = True
        # What shut this agent out holds a higher token; it is heard of soon,
        # or else it is gone and the next candidate needs a higher one still.
        self._last_heartbeat_at = self._clock.monotonic()

    def handle_leave(self, token: int, address: Address) -> None:
        """Note that a coordinator has stopped and left its group at rest.

        :param token: its token.
        :param address: its address.
        """
        if (
            token < self.highest_token
            or address != self.leader
            or self.is_vacant
        ):
            return
        # Waited for, its silence kept a group without a coordinator for half
        # a second that nobody needed: it has said that it gives no orders.
        self.is_vacant = True
        self._released_token = token
        self._last_heartbeat_at = (
            self._clock.monotonic() - ELECTION_TIMEOUT_SECONDS
        )

    def withdraw(self) -> None:
        """Stand no more, for as long as the process lives."""
        self.is_withdrawn = True

    def resign(self) -> None:
        """Give the token up."""
        self.token = None

    def campaign(self, members: Sequence[Address], rank: int) -> bool:
        """Become the coordinator if there is none and it is this one's turn.

        :param members: the agents of the group, sorted.
        :param rank: the rank beside this agent.
        :returns: whether it has become the coordinator now.
        """
        if (
            self.is_leading()
            or self.is_withdrawn
            or self._own_address not in members
        ):
            return False
        if rank >= FENCE_AUTHOR:
            # Its tokens would be those of another rank.
            return False
        position = list(members).index(self._own_address)
        is_initial = self.highest_token == 0
        timeout = (
            INITIAL_TIMEOUT_SECONDS if is_initial else ELECTION_TIMEOUT_SECONDS
        )
        wait = timeout + CANDIDATE_STAGGER_SECONDS * position
        if self._clock.monotonic() - self._last_heartbeat_at < wait:
            return False
        now = int(self._clock.wall() * MILLISECONDS_PER_SECOND) * MAX_RANKS
        # Clocks of hosts differ: the highest token heard of counts as well.
        min_token = max(now, self.highest_token + MAX_RANKS)
        self.token = min_token // MAX_RANKS * MAX_RANKS + rank
        self.highest_token = self.token
        self.previous_host = None if self.leader is None else self.leader[0]
        self.leader = self._own_address
        self.is_vacant = False
        return True
