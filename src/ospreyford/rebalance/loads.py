"""The load of each expert, from the counts of all ranks."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

BYTE_MAX = 255


class WindowCounter:
    """Turns a rank's growing counts into those of the last window."""

    def __init__(self) -> None:
        self._counts: tuple[int, ...] = ()
        self._at = 0.0
        self._epoch = -1

    def take(
        self, counts: tuple[int, ...], epoch: int, now: float
    ) -> tuple[float, float, bytes]:
        """Take the newest counts.

        :param counts: since the rank's start.
        :param epoch: of the group.
        :param now: seconds on the monotonic clock.
        :returns: the window's length in seconds, the scale, and a byte for
            each expert; no window after a restart.
        """
        before, self._counts = self._counts, counts
        began, self._at = self._at, now
        same, self._epoch = self._epoch == epoch, epoch
        if not same or len(before) != len(counts):
            return 0, 1, b''
        window = [new - old for new, old in zip(counts, before, strict=True)]
        # A rank that started anew counts from zero again.
        if min(window, default=0) < 0:
            return 0, 1, b''
        return (now - began, *shrink(window))


def shrink(window: Sequence[int]) -> tuple[float, bytes]:
    """Round counts so that each fits a byte.

    :param window: counts.
    :returns: what they were divided by, and the bytes.
    """
    scale = max(max(window, default=0) / BYTE_MAX, 1)
    return scale, bytes(round(count / scale) for count in window)


class LoadTracker:
    """Averages the load of each expert, newest counts first.

    :param half_life: in seconds: a count weighs half as much after it.
    """

    def __init__(self, half_life: float) -> None:
        self._half_life = half_life
        self._loads: list[float] = []
        self._at = 0.0

    def add(self, scale: float, chosen: bytes, now: float) -> None:
        """Add a rank's window.

        :param scale: what the counts were divided by.
        :param chosen: a byte for each expert.
        :param now: seconds on the monotonic clock.
        """
        if len(self._loads) != len(chosen):
            self._loads = [0] * len(chosen)
        self._fade(now)
        self._loads = [
            load + scale * count
            for load, count in zip(self._loads, chosen, strict=True)
        ]

    def split(self, sets: int) -> list[list[float]]:
        """Tell the load of each expert of each set.

        :param sets: the number of sets.
        :returns: for each set, the load of each expert.
        """
        size = len(self._loads) // max(sets, 1)
        return [
            self._loads[number * size : (number + 1) * size]
            for number in range(sets)
        ]

    def forget(self) -> None:
        """Forget all counts."""
        self._loads = []

    def _fade(self, now: float) -> None:
        passed, self._at = now - self._at, now
        if passed <= 0:
            return
        factor = 0.5 ** (passed / self._half_life)
        self._loads = [load * factor for load in self._loads]
