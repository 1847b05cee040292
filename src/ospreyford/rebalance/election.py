"""Election of the agent that coordinates a group."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from ospreyford.rebalance.versions import FENCE_AUTHOR, MAX_RANKS

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.datagrams import Address

#: Interval of a coordinator's heartbeats.
HEARTBEAT_INTERVAL_SECONDS = 0.1
#: Time without a heartbeat after which a coordinator is replaced: four
#: heartbeats, of which single ones may be lost.
ELECTION_TIMEOUT_SECONDS = 0.45
#: Additional wait per candidate, longer than a heartbeat takes to arrive.
CANDIDATE_STAGGER_SECONDS = 0.12
#: Time without a heartbeat before the first election.
INITIAL_TIMEOUT_SECONDS = 0.3
#: The same while agents of some ranks aren't known: it is likely that others
#: know more and are about to campaign.
INCOMPLETE_TIMEOUT_SECONDS = 0.9
#: Time without a heartbeat after which an agent asks for the coordinator.
HEARTBEAT_STALE_SECONDS = 0.25
MILLISECONDS_PER_SECOND = 1000


class Election:
    """Tracks the coordinator with the highest token and runs for the role.

    Two agents may both act as coordinator for a while. The ranks reject the
    lower fencing token, so the election only has to converge.

    :param own_address: this agent's address.
    :param clock: source of time.

    ``is_vacant`` is set while no coordinator is known, ``is_withdrawn`` once
    this agent no longer runs for the role.
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
        self._has_all_members = False
        self._released_token: int | None = None
        self.is_withdrawn = False

    def is_leading(self) -> bool:
        """Return whether this agent is the coordinator.

        :returns: whether it holds a token.
        """
        return self.token is not None

    def has_recent_heartbeat(self) -> bool:
        """Return whether a coordinator was heard from recently.

        :returns: whether this agent can answer who coordinates.
        """
        if self.is_leading():
            return True
        silence = self._clock.monotonic() - self._last_heartbeat_at
        return not self.is_vacant and silence < HEARTBEAT_STALE_SECONDS

    def record_members(
        self, members: Sequence[Address], *, is_complete: bool = True
    ) -> None:
        """Record the group's agents, and start the election timeout.

        Measured from the process start, the timeouts of all agents would expire
        together when they learn of each other.

        :param members: the agents of the group.
        :param is_complete: whether there is one for each rank; the timeout is
            started anew when the list first is.
        """
        is_known = self._has_members and (
            self._has_all_members or not is_complete or self.highest_token
        )
        if is_known or not members:
            return
        self._has_members = True
        self._has_all_members = is_complete
        self._last_heartbeat_at = self._clock.monotonic()

    def handle_heartbeat(
        self, token: int, address: Address, *, is_relayed: bool = False
    ) -> bool:
        """Handle a coordinator's heartbeat.

        :param token: its token.
        :param address: its address.
        :param is_relayed: whether another agent forwarded it.
        :returns: whether the coordinator has changed.
        """
        # A late heartbeat must not reinstate a coordinator that has left.
        if token < self.highest_token or token == self._released_token:
            return False
        changed = address != self.leader
        if is_relayed and not changed:
            # Two agents could otherwise keep a failed coordinator alive.
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
        """Stop coordinating after a rank has rejected the token."""
        self.token = None
        self.leader = None
        self.is_vacant = True
        # The holder of the higher token is heard from within the timeout.
        self._last_heartbeat_at = self._clock.monotonic()

    def handle_leave(self, token: int, address: Address) -> None:
        """Handle a coordinator's notice that it has stopped.

        :param token: its token.
        :param address: its address.
        """
        if (
            token < self.highest_token
            or address != self.leader
            or self.is_vacant
        ):
            return
        # It gives no more orders: waiting for the timeout would leave the group
        # without a coordinator for half a second.
        self.is_vacant = True
        self._released_token = token
        self._last_heartbeat_at = (
            self._clock.monotonic() - ELECTION_TIMEOUT_SECONDS
        )

    def withdraw(self) -> None:
        """Never run for coordinator again."""
        self.is_withdrawn = True

    def resign(self) -> None:
        """Give up the token."""
        self.token = None

    def campaign(
        self,
        members: Sequence[Address],
        rank: int,
        *,
        unassigned: Sequence[Address] = (),
        size: int = 0,
    ) -> bool:
        """Become the coordinator if there is none and it is this agent's turn.

        :param members: the agents of the group, sorted.
        :param rank: the rank on this agent's host.
        :param unassigned: agents that may belong to the group as well.
        :param size: number of ranks of the group.
        :returns: whether it has become the coordinator.
        """
        if (
            self.is_leading()
            or self.is_withdrawn
            or self._own_address not in members
        ):
            return False
        if rank >= FENCE_AUTHOR:
            # Its tokens would collide with those of another rank.
            return False
        if self.highest_token:
            timeout = ELECTION_TIMEOUT_SECONDS
        elif len(members) < size:
            timeout = INCOMPLETE_TIMEOUT_SECONDS
        else:
            timeout = INITIAL_TIMEOUT_SECONDS
        position = compute_position(
            self._own_address, members, unassigned, size
        )
        wait = timeout + CANDIDATE_STAGGER_SECONDS * position
        if self._clock.monotonic() - self._last_heartbeat_at < wait:
            return False
        now = int(self._clock.wall() * MILLISECONDS_PER_SECOND) * MAX_RANKS
        # Clocks differ between hosts, so exceed the highest known token too.
        min_token = max(now, self.highest_token + MAX_RANKS)
        self.token = min_token // MAX_RANKS * MAX_RANKS + rank
        self.highest_token = self.token
        self.previous_host = None if self.leader is None else self.leader[0]
        self.leader = self._own_address
        self.is_vacant = False
        return True


def compute_position(
    own_address: Address,
    members: Sequence[Address],
    unassigned: Sequence[Address],
    size: int,
) -> int:
    """Compute how many agents campaign before this one.

    :param own_address: this agent's address.
    :param members: the known agents of the group.
    :param unassigned: agents that may belong to it as well.
    :param size: number of ranks of the group.
    :returns: the number; of the unassigned agents, no more are counted than
        ranks of the group have no known agent.
    """
    missing = max(size - len(members), 0)
    possible = sum(one < own_address for one in unassigned)
    return sum(one < own_address for one in members) + min(possible, missing)
