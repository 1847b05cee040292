"""The load of a group, summed up on its way to the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from ospreyford.rebalance.loads import add_shares, pack_sum
from ospreyford.rebalance.messages import LoadPart

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.loads import Shares

#: What an agent below has reported counts for so long, in seconds: some
#: reports, of which single ones may be lost.
KEPT_SECONDS: Final = 1.0
MILLISECONDS: Final = 1000


class _Received(NamedTuple):
    """A part and when it was counted.

    :param part: the part, with its shares unpacked.
    :param counted_at: when the oldest of it was counted, seconds on the
        monotonic clock.
    :param at: when it arrived, on the same clock.
    """

    part: LoadPart
    counted_at: float
    at: float


class LoadSums:
    """Adds up the parts that other agents report here.

    Load pattern: each of 129 ranks counts 4,128 choices anew with every pass.
    Sent to the coordinator by each of them, its link carries one report of a
    rank in two seconds; summed up on the way it gets twelve reports in place
    of 128.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.turn = 0
        self._clock = clock
        self._received: dict[str, _Received] = {}

    def note(self, host: str, part: LoadPart) -> bool:
        """Take over a part.

        :param host: IP number of the agent that reports it.
        :param part: the part.
        :returns: whether it was taken: one of an earlier tree is not, since
            its ranks may report through another agent by now.
        """
        if part.turn != self.turn:
            return False
        shares = part.shares.unpack()
        if shares is None:
            return False
        now = self._clock.monotonic()
        self._received[host] = _Received(
            LoadPart(part.turn, part.ranks, shares),
            now - part.age_ms / MILLISECONDS,
            now,
        )
        return True

    def follow(self, turn: int) -> None:
        """Forget what was summed up in another tree.

        :param turn: of the tree that is used from now on.
        """
        if turn != self.turn:
            self.turn = turn
            self._received.clear()

    def list_shares(self) -> list[Shares]:
        """List the parts that still count.

        :returns: their shares.
        """
        return [one.part.shares for one in self._list_fresh()]

    def count_ranks(self) -> int:
        """Count the ranks whose load is known here.

        :returns: their number.
        """
        return sum(one.part.ranks for one in self._list_fresh())

    def tell_age(self) -> float:
        """Tell how long ago the oldest of the load was counted.

        :returns: seconds; 0 without any.
        """
        oldest = min(
            (one.counted_at for one in self._list_fresh()), default=None
        )
        return 0 if oldest is None else self._clock.monotonic() - oldest

    def add_to(self, own: Shares, counted_at: float) -> LoadPart:
        """Add the load of the rank beside this agent to what was reported.

        :param own: that rank's shares.
        :param counted_at: when they were counted, on the monotonic clock.
        :returns: the part to report.
        """
        fresh = self._list_fresh()
        oldest = min([counted_at, *(one.counted_at for one in fresh)])
        age = self._clock.monotonic() - oldest
        shares = own
        if fresh:
            shares = pack_sum(
                add_shares([own, *(one.part.shares for one in fresh)])
            )
        return LoadPart(
            turn=self.turn,
            ranks=1 + sum(one.part.ranks for one in fresh),
            shares=shares.pack_large(is_sum=bool(fresh)),
            age_ms=int(age * MILLISECONDS),
        )

    def _list_fresh(self) -> Sequence[_Received]:
        oldest = self._clock.monotonic() - KEPT_SECONDS
        self._received = {
            host: one for host, one in self._received.items() if one.at > oldest
        }
        return tuple(self._received.values())
