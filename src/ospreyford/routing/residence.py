"""How long requests stay at a back end."""

from __future__ import annotations

#: Part of the older ends that counts after each new one.
KEPT = 0.95


class Residence:
    """Mean stay of requests by Little's law, recent ends weighing most."""

    def __init__(self) -> None:
        self._area: float = 0
        self._ends: float = 0
        self._at: float | None = None

    def note(self, in_flight: int, now: float) -> None:
        """Take in how many were there until now.

        :param in_flight: requests since the last call.
        :param now: seconds on the monotonic clock.
        """
        if self._at is not None:
            self._area += in_flight * max(0, now - self._at)
        self._at = now

    def note_end(self) -> None:
        """Count one end."""
        self._area *= KEPT
        self._ends = self._ends * KEPT + 1

    def mean(self) -> float | None:
        """Tell the mean stay.

        :returns: seconds, ``None`` before the first end.
        """
        return self._area / self._ends if self._ends else None
