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


class ReadCredit(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
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
    sequence: int
    allowed_bytes: int
    forming: bool = False


@dataclass
class WeightLimits:
    """The weight store's terms, changed by published documents.

    :param expert_bytes: size of one expert of one layer.
    :param bytes_per_second: the group's share of the store.
    :param slots: experts of one layer that a rank's memory takes.
    """

    expert_bytes: int
    bytes_per_second: float
    slots_per_layer: int


class CreditAccount:
    """The member's side: what it may still read.

    :param pace: the store's terms.
    """

    def __init__(self, limits: WeightLimits) -> None:
        self._limits = limits
        self.ballot = NO_BALLOT
        self._sequence = 0
        self._allowed_bytes = 0
        self._spent_bytes = 0

    def apply(self, credit: ReadCredit) -> bool:
        """Take over a leave.

        :param leave: from a coordinator whose ballot isn't outbid.
        :returns: whether it is news; a late or doubled one is not.
        """
        if credit.ballot > self.ballot:
            self.ballot = credit.ballot
            self._spent_bytes = 0
        elif credit.ballot < self.ballot or credit.sequence <= self._sequence:
            return False
        self._sequence = credit.sequence
        self._allowed_bytes = credit.allowed_bytes
        return True

    def count_available(self) -> int:
        """Tell how many experts may be read now.

        :returns: a number of experts.
        """
        return (
            self._allowed_bytes - self._spent_bytes
        ) // self._limits.expert_bytes

    def spend(self, experts: int) -> None:
        """Note reads that were ordered.

        :param experts: how many experts.
        """
        self._spent_bytes += experts * self._limits.expert_bytes


class CreditAllocator:
    """The coordinator's side: shares the group's bytes among its members.

    :param pace: the store's terms.
    :param ballot: the coordinator's ballot.
    :param now: this process's monotonic clock, in seconds.
    """

    def __init__(
        self, limits: WeightLimits, ballot: Ballot, now: float
    ) -> None:
        self.forming = False
        self._limits = limits
        self._ballot = ballot
        self._bytes_per_second = limits.bytes_per_second
        self._bucket = self._make_bucket(now)
        self._incarnations: tuple[int, ...] = ()
        self._allowed_bytes: Counter[int] = Counter()
        self._needed_experts: Counter[int] = Counter()
        self._sequence = 0

    def record_incarnations(self, incarnations: Sequence[int]) -> None:
        """Note the members' lives.

        :param incarnations: by slot.
        """
        self._incarnations = tuple(incarnations)

    def record_needed(self, slot: int, experts: int) -> None:
        """Note what a member still needs leave for.

        :param slot: the member.
        :param wants: how many experts.
        """
        self._needed_experts[slot] = experts

    def allocate(self, now: float) -> None:
        """Share what the bucket holds, an expert at a time.

        :param now: this process's monotonic clock, in seconds.
        """
        if self._bytes_per_second != self._limits.bytes_per_second:
            self._bytes_per_second = self._limits.bytes_per_second
            self._bucket = self._make_bucket(now)
        expert_bytes = self._limits.expert_bytes
        while self._needed_experts.total() and self._bucket.take(
            expert_bytes, now
        ):
            # The one that lacks most keeps the whole group waiting.
            slot, _ = self._needed_experts.most_common(1)[0]
            self._needed_experts[slot] -= 1
            self._allowed_bytes[slot] += expert_bytes
        self._sequence += 1

    def make_credit(self, slot: int) -> ReadCredit:
        """Write a member's leave.

        :param slot: the member.
        :returns: the leave.
        """
        return ReadCredit(
            ballot=self._ballot,
            incarnation=self._incarnations[slot],
            sequence=self._sequence,
            allowed_bytes=self._allowed_bytes[slot],
            forming=self.forming,
        )

    def _make_bucket(self, now: float) -> TokenBucket:
        # One expert must fit, however slow the store.
        burst_bytes = max(
            self._bytes_per_second * BURST_SECONDS, self._limits.expert_bytes
        )
        return TokenBucket(self._bytes_per_second, burst_bytes, now)
