"""Which agent coordinates a group."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from ospreyford.rebalance.versions import NOBODY, RANKS_MOST

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.post import Address

#: Time between two heartbeats of a coordinator, in seconds.
BEAT_SECONDS = 0.1
#: A coordinator that has been silent for so long is replaced, in seconds: four
#: heartbeats, of which single ones may be lost.
SILENCE_SECONDS = 0.45
#: Further wait of each next candidate, in seconds: more than a heartbeat takes
#: to arrive, so that the first one is heard before the second one begins.
TURN_SECONDS = 0.12
MILLISECONDS = 1000


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

    def __init__(self, me: Address, clock: Clock) -> None:
        self.token: int | None = None
        self.leader: Address | None = None
        self.lost: str | None = None
        self.is_vacant = True
        self._me = me
        self._clock = clock
        self.highest = 0
        self._heard_at = clock.monotonic()
        self._left: int | None = None
        self.is_retired = False

    def is_leading(self) -> bool:
        """Tell whether this agent coordinates.

        :returns: whether it holds the highest token that it knows.
        """
        return self.token is not None

    def hear(self, token: int, address: Address) -> bool:
        """Take over a coordinator's heartbeat.

        :param token: its token.
        :param address: its address.
        :returns: whether this agent follows another one than before.
        """
        # A late heartbeat of one that has left does not bring it back.
        if token < self.highest or token == self._left:
            return False
        changed = address != self.leader
        self.highest = token
        self._heard_at = self._clock.monotonic()
        self.leader = address
        self.is_vacant = False
        if address != self._me:
            self.token = None
        return changed

    def step_down(self) -> None:
        """Stop coordinating: a rank has refused the token."""
        self.token = None
        self.leader = None
        self.is_vacant = True
        # What shut this agent out holds a higher token; it is heard of soon,
        # or else it is gone and the next candidate needs a higher one still.
        self._heard_at = self._clock.monotonic()

    def hear_leaving(self, token: int, address: Address) -> None:
        """Note that a coordinator has stopped and left its group at rest.

        :param token: its token.
        :param address: its address.
        """
        if token < self.highest or address != self.leader or self.is_vacant:
            return
        # Waited for, its silence kept a group without a coordinator for half
        # a second that nobody needed: it has said that it gives no orders.
        self.is_vacant = True
        self._left = token
        self._heard_at = self._clock.monotonic() - SILENCE_SECONDS

    def retire(self) -> None:
        """Stand no more, for as long as the process lives."""
        self.is_retired = True

    def resign(self) -> None:
        """Give the token up."""
        self.token = None

    def stand(self, members: Sequence[Address], rank: int) -> bool:
        """Become the coordinator if there is none and it is this one's turn.

        :param members: the agents of the group, sorted.
        :param rank: the rank beside this agent.
        :returns: whether it has become the coordinator now.
        """
        if self.is_leading() or self.is_retired or self._me not in members:
            return False
        if rank >= NOBODY:
            # Its tokens would be those of another rank.
            return False
        turn = list(members).index(self._me)
        wait = SILENCE_SECONDS + TURN_SECONDS * turn
        if self._clock.monotonic() - self._heard_at < wait:
            return False
        now = int(self._clock.wall() * MILLISECONDS) * RANKS_MOST
        # Clocks of hosts differ: the highest token heard of counts as well.
        least = max(now, self.highest + RANKS_MOST)
        self.token = least // RANKS_MOST * RANKS_MOST + rank
        self.highest = self.token
        self.lost = None if self.leader is None else self.leader[0]
        self.leader = self._me
        self.is_vacant = False
        return True
