"""Which agent coordinates a group."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from ospreyford.rebalance.versions import NOBODY, RANKS_MOST

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.datagrams import Address

#: Time between two heartbeats of a coordinator, in seconds.
BEAT_SECONDS = 0.1
#: A coordinator that has been silent for so long is replaced, in seconds: four
#: heartbeats, of which single ones may be lost.
SILENCE_SECONDS = 0.45
#: Further wait of each next candidate, in seconds: more than a heartbeat takes
#: to arrive, so that the first one is heard before the second one begins.
TURN_SECONDS = 0.12
#: A candidate that has never heard of a coordinator waits for so long, in
#: seconds: three heartbeats of one that may be there.
FIRST_SECONDS = 0.3
#: An agent that has heard nothing for so long asks whether the coordinator is
#: there, in seconds: more than two heartbeats.
ASK_SECONDS = 0.25
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
        self._met_members = False
        self._left: int | None = None
        self.is_retired = False

    def is_leading(self) -> bool:
        """Tell whether this agent coordinates.

        :returns: whether it holds the highest token that it knows.
        """
        return self.token is not None

    def is_in_touch(self) -> bool:
        """Tell whether a coordinator was heard of just now.

        :returns: whether this agent can tell others who coordinates.
        """
        if self.is_leading():
            return True
        silence = self._clock.monotonic() - self._heard_at
        return not self.is_vacant and silence < ASK_SECONDS

    def meet(self, members: Sequence[Address]) -> None:
        """Note the agents of the group, before the first of them is heard.

        Load pattern: all hosts start together, and one list after the other
        names the agents that have registered. Their silence counted from the
        start of each process, all 129 of them were due to stand at the moment
        at which they met the others.

        :param members: the agents of the group.
        """
        if self._met_members or not members:
            return
        self._met_members = True
        self._heard_at = self._clock.monotonic()

    def hear(
        self, token: int, address: Address, *, is_hearsay: bool = False
    ) -> bool:
        """Take over a coordinator's heartbeat.

        :param token: its token.
        :param address: its address.
        :param is_hearsay: whether another agent tells of it.
        :returns: whether this agent follows another one than before.
        """
        # A late heartbeat of one that has left does not bring it back.
        if token < self.highest or token == self._left:
            return False
        changed = address != self.leader
        if is_hearsay and not changed:
            # Two agents would keep one alive for each other that is gone.
            return False
        self.highest = token
        self._heard_at = self._clock.monotonic()
        if is_hearsay:
            self._heard_at -= ASK_SECONDS
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
        is_first = self.highest == 0
        silence = FIRST_SECONDS if is_first else SILENCE_SECONDS
        wait = silence + TURN_SECONDS * turn
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
