"""Leave to read the weight store: given by the coordinator, spent by members.

The group's share of the store is one number, and only the coordinator knows
of all members what they lack. It hands out bytes as a sum that only rises
under its ballot, so that a question that comes twice or late gives nothing
twice; what an earlier ballot left unspent is void.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from ospreyford.expertmap.windows import NO_BALLOT, Ballot
from ospreyford.placement.budget import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Seconds of the group's share that may be saved up. Members ask for leave
#: every ``load_seconds``; a smaller bucket would overflow between two asks.
BURST_SECONDS = 4.0


class Leave(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """How much a member may read, as a sum under one ballot.

    :param ballot: the coordinator's ballot.
    :param incarnation: the member meant; a later life of it has not counted
        what its earlier one spent.
    :param serial: rises with each question of this ballot.
    :param allowed: bytes that may be read under this ballot, all together.
    :param forming: whether the group stands until the weights are there.
    """

    ballot: Ballot
    incarnation: int
    serial: int
    allowed: int
    forming: bool = False


@dataclass
class WeightPace:
    """The weight store's terms, changed by published documents.

    :param expert_bytes: size of one expert of one layer.
    :param bytes_per_second: the group's share of the store.
    :param slots: experts of one layer that a rank's memory takes.
    """

    expert_bytes: int
    bytes_per_second: float
    slots: int


class SpentLeave:
    """The member's side: what it may still read.

    :param pace: the store's terms.
    """

    def __init__(self, pace: WeightPace) -> None:
        self._pace = pace
        self.ballot = NO_BALLOT
        self._serial = 0
        self._allowed = 0
        self._spent = 0

    def take(self, leave: Leave) -> bool:
        """Take over a leave.

        :param leave: from a coordinator whose ballot isn't outbid.
        :returns: whether it is news; a late or doubled one is not.
        """
        if leave.ballot > self.ballot:
            self.ballot = leave.ballot
            self._spent = 0
        elif leave.ballot < self.ballot or leave.serial <= self._serial:
            return False
        self._serial = leave.serial
        self._allowed = leave.allowed
        return True

    def left(self) -> int:
        """Tell how many experts may be read now.

        :returns: a number of experts.
        """
        return (self._allowed - self._spent) // self._pace.expert_bytes

    def spend(self, experts: int) -> None:
        """Note reads that were ordered.

        :param experts: how many experts.
        """
        self._spent += experts * self._pace.expert_bytes


class Allotment:
    """The coordinator's side: shares the group's bytes among its members.

    :param pace: the store's terms.
    :param ballot: the coordinator's ballot.
    :param now: this process's monotonic clock, in seconds.
    """

    def __init__(self, pace: WeightPace, ballot: Ballot, now: float) -> None:
        self.forming = False
        self._pace = pace
        self._ballot = ballot
        self._rate = pace.bytes_per_second
        self._bucket = self._make_bucket(now)
        self._incarnations: tuple[int, ...] = ()
        self._allowed: Counter[int] = Counter()
        self._wants: Counter[int] = Counter()
        self._serial = 0

    def learn(self, incarnations: Sequence[int]) -> None:
        """Note the members' lives.

        :param incarnations: by slot.
        """
        self._incarnations = tuple(incarnations)

    def note(self, slot: int, wants: int) -> None:
        """Note what a member still needs leave for.

        :param slot: the member.
        :param wants: how many experts.
        """
        self._wants[slot] = wants

    def allot(self, now: float) -> None:
        """Share what the bucket holds, an expert at a time.

        :param now: this process's monotonic clock, in seconds.
        """
        if self._rate != self._pace.bytes_per_second:
            self._rate = self._pace.bytes_per_second
            self._bucket = self._make_bucket(now)
        size = self._pace.expert_bytes
        while self._wants.total() and self._bucket.take(size, now):
            # The one that lacks most keeps the whole group waiting.
            slot, _ = self._wants.most_common(1)[0]
            self._wants[slot] -= 1
            self._allowed[slot] += size
        self._serial += 1

    def make_leave(self, slot: int) -> Leave:
        """Write a member's leave.

        :param slot: the member.
        :returns: the leave.
        """
        return Leave(
            ballot=self._ballot,
            incarnation=self._incarnations[slot],
            serial=self._serial,
            allowed=self._allowed[slot],
            forming=self.forming,
        )

    def _make_bucket(self, now: float) -> TokenBucket:
        # One expert must fit, however slow the store.
        burst = max(self._rate * BURST_SECONDS, self._pace.expert_bytes)
        return TokenBucket(self._rate, burst, now)
