"""Credits for weight-store reads, allocated by the coordinator.

Credits are cumulative per ballot, so duplicated or delayed requests grant
nothing twice; credits of an earlier ballot expire.
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

#: Bucket capacity at the group's rate; exceeds the default ``load_seconds``.
BURST_SECONDS = 4.0


class ReadCredit(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Cumulative read allowance of one member under one ballot.

    :param ballot: the coordinator's ballot.
    :param incarnation: the receiving member's incarnation; another one has
        not tracked what was spent.
    :param sequence: increases with each allocation under this ballot.
    :param allowed_bytes: total bytes that may be read under this ballot.
    :param forming: whether steps are blocked until the weights are loaded.
    """

    ballot: Ballot
    incarnation: int
    sequence: int
    allowed_bytes: int
    forming: bool = False


@dataclass
class WeightLimits:
    """Weight store and memory limits, updated by published documents.

    :param expert_bytes: bytes of one expert of one layer.
    :param bytes_per_second: the group's share of the store.
    :param slots_per_layer: experts of one layer that fit in a rank's memory.
    """

    expert_bytes: int
    bytes_per_second: float
    slots_per_layer: int


class CreditAccount:
    """Tracks a member's spent and remaining read credits.

    :param limits: weight store and memory limits.
    """

    def __init__(self, limits: WeightLimits) -> None:
        self._limits = limits
        self.ballot = NO_BALLOT
        self._sequence = 0
        self._allowed_bytes = 0
        self._spent_bytes = 0

    def apply(self, credit: ReadCredit) -> bool:
        """Apply a credit.

        :param credit: from a coordinator that has not been preempted.
        :returns: ``False`` for a stale or duplicated credit.
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
        """Count the experts that the remaining credits cover.

        :returns: a number of experts.
        """
        return (
            self._allowed_bytes - self._spent_bytes
        ) // self._limits.expert_bytes

    def spend(self, experts: int) -> None:
        """Record ordered reads.

        :param experts: number of experts.
        """
        self._spent_bytes += experts * self._limits.expert_bytes


class CreditAllocator:
    """Allocates the group's share of the weight store among its members.

    :param limits: weight store and memory limits.
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
        """Record the members' incarnations.

        :param incarnations: by slot.
        """
        self._incarnations = tuple(incarnations)

    def record_needed(self, slot: int, experts: int) -> None:
        """Record how many experts a member needs credits for.

        :param slot: the member.
        :param experts: number of experts.
        """
        self._needed_experts[slot] = experts

    def allocate(self, now: float) -> None:
        """Allocate the available bytes, one expert at a time.

        :param now: this process's monotonic clock, in seconds.
        """
        if self._bytes_per_second != self._limits.bytes_per_second:
            self._bytes_per_second = self._limits.bytes_per_second
            self._bucket = self._make_bucket(now)
        expert_bytes = self._limits.expert_bytes
        while self._needed_experts.total() and self._bucket.take(
            expert_bytes, now
        ):
            # The member that lacks most delays the whole group.
            slot, _ = self._needed_experts.most_common(1)[0]
            self._needed_experts[slot] -= 1
            self._allowed_bytes[slot] += expert_bytes
        self._sequence += 1

    def make_credit(self, slot: int) -> ReadCredit:
        """Create a member's credit.

        :param slot: the member.
        :returns: the credit.
        """
        return ReadCredit(
            ballot=self._ballot,
            incarnation=self._incarnations[slot],
            sequence=self._sequence,
            allowed_bytes=self._allowed_bytes[slot],
            forming=self.forming,
        )

    def _make_bucket(self, now: float) -> TokenBucket:
        # At least one expert must fit.
        burst_bytes = max(
            self._bytes_per_second * BURST_SECONDS, self._limits.expert_bytes
        )
        return TokenBucket(self._bytes_per_second, burst_bytes, now)
