"""Aggregation of ranks' loads along the tree of agents."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from ospreyford.rebalance.loads import quantize_sum, sum_loads
from ospreyford.rebalance.messages import PartialLoad

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.loads import QuantizedLoad

#: Several report intervals, so that a single lost report is tolerated.
PARTIAL_LOAD_TTL_SECONDS: Final = 1.0
MILLISECONDS_PER_SECOND: Final = 1000


class _ReceivedLoad(NamedTuple):
    """A partial load with its timestamps.

    :param partial: the partial load, uncompressed.
    :param counted_at: time of its oldest counts, in seconds on the monotonic
        clock.
    :param received_at: time of arrival, on the same clock.
    """

    partial: PartialLoad
    counted_at: float
    received_at: float


class LoadAggregator:
    """Sums the partial loads that child agents report.

    Bounds the coordinator's inbound traffic by the degree of the tree.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.rotation = 0
        self._clock = clock
        self._received: dict[str, _ReceivedLoad] = {}

    def record(self, host: str, partial: PartialLoad) -> bool:
        """Record a child's partial load.

        :param host: IP address of the child's host.
        :param partial: the partial load.
        :returns: whether it was accepted. One of another rotation isn't, since
            its ranks may be counted through another agent too.
        """
        if partial.rotation != self.rotation:
            return False
        load = partial.load.decompress()
        if load is None:
            return False
        now = self._clock.monotonic()
        self._received[host] = _ReceivedLoad(
            PartialLoad(partial.rotation, partial.rank_count, load),
            now - partial.age_ms / MILLISECONDS_PER_SECOND,
            now,
        )
        return True

    def switch_rotation(self, rotation: int) -> None:
        """Switch to another tree and discard the loads of the previous one.

        :param rotation: rotation of the tree.
        """
        if rotation != self.rotation:
            self.rotation = rotation
            self._received.clear()

    def list_loads(self) -> list[QuantizedLoad]:
        """List the loads that haven't expired.

        :returns: the loads.
        """
        return [one.partial.load for one in self._list_current()]

    def count_ranks(self) -> int:
        """Count the ranks included in the current loads.

        :returns: number of ranks.
        """
        return sum(one.partial.rank_count for one in self._list_current())

    def compute_age(self) -> float:
        """Compute the age of the oldest counts.

        :returns: seconds; 0 without loads.
        """
        oldest = min(
            (one.counted_at for one in self._list_current()), default=None
        )
        return 0 if oldest is None else self._clock.monotonic() - oldest

    def aggregate(self, own: QuantizedLoad, counted_at: float) -> PartialLoad:
        """Sum the load of this agent's rank and those of its children.

        :param own: the load of this agent's rank.
        :param counted_at: time of its counts, in seconds on the monotonic
            clock.
        :returns: the partial load to report to the parent.
        """
        current = self._list_current()
        oldest = min([counted_at, *(one.counted_at for one in current)])
        age = self._clock.monotonic() - oldest
        load = own
        if current:
            load = quantize_sum(
                sum_loads([own, *(one.partial.load for one in current)])
            )
        return PartialLoad(
            rotation=self.rotation,
            rank_count=1 + sum(one.partial.rank_count for one in current),
            load=load.compress_large(is_sum=bool(current)),
            age_ms=int(age * MILLISECONDS_PER_SECOND),
        )

    def _list_current(self) -> Sequence[_ReceivedLoad]:
        oldest = self._clock.monotonic() - PARTIAL_LOAD_TTL_SECONDS
        self._received = {
            host: received
            for host, received in self._received.items()
            if received.received_at > oldest
        }
        return tuple(self._received.values())
