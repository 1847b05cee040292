"""The load of a group, summed up on its way to the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from ospreyford.rebalance.loads import quantize_sum, sum_loads
from ospreyford.rebalance.messages import PartialLoad

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.loads import QuantizedLoad

#: What an agent below has reported counts for so long, in seconds: some
#: reports, of which single ones may be lost.
PARTIAL_LOAD_TTL_SECONDS: Final = 1.0
MILLISECONDS_PER_SECOND: Final = 1000


class _ReceivedLoad(NamedTuple):
    """A part and when it was counted.

    :param part: the part, with its shares unpacked.
    :param counted_at: when the oldest of it was counted, seconds on the
        monotonic clock.
    :param at: when it arrived, on the same clock.
    """

    partial: PartialLoad
    counted_at: float
    received_at: float


class LoadAggregator:
    """Adds up the parts that other agents report here.

    Load pattern: each of 129 ranks counts 4,128 choices anew with every pass.
    Sent to the coordinator by each of them, its link carries one report of a
    rank in two seconds; summed up on the way it gets twelve reports in place
    of 128.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.rotation = 0
        self._clock = clock
        self._received: dict[str, _ReceivedLoad] = {}

    def record(self, host: str, partial: PartialLoad) -> bool:
        """Take over a part.

        :param host: IP number of the agent that reports it.
        :param part: the part.
        :returns: whether it was taken: one of an earlier tree is not, since
            its ranks may report through another agent by now.
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

    def set_rotation(self, rotation: int) -> None:
        """Forget what was summed up in another tree.

        :param turn: of the tree that is used from now on.
        """
        if rotation != self.rotation:
            self.rotation = rotation
            self._received.clear()

    def list_loads(self) -> list[QuantizedLoad]:
        """List the parts that still count.

        :returns: their shares.
        """
        return [one.partial.load for one in self._list_current()]

    def count_ranks(self) -> int:
        """Count the ranks whose load is known here.

        :returns: their number.
        """
        return sum(one.partial.rank_count for one in self._list_current())

    def compute_age(self) -> float:
        """Tell how long ago the oldest of the load was counted.

        :returns: seconds; 0 without any.
        """
        oldest = min(
            (one.counted_at for one in self._list_current()), default=None
        )
        return 0 if oldest is None else self._clock.monotonic() - oldest

    def aggregate(self, own: QuantizedLoad, counted_at: float) -> PartialLoad:
        """Add the load of the rank beside this agent to what was reported.

        :param own: that rank's shares.
        :param counted_at: when they were counted, on the monotonic clock.
        :returns: the part to report.
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
