"""How long requests stay at a backend."""

from __future__ import annotations

#: Part of the older ends that counts after each new one.
DECAY_FACTOR = 0.95


class ResidenceTime:
    """Mean stay of requests by Little's law, recent ends weighing most."""

    def __init__(self) -> None:
        self._request_seconds: float = 0
        self._completed: float = 0
        self._updated_at: float | None = None

    def record_in_flight(self, in_flight: int, now: float) -> None:
        """Take in how many were there until now.

        :param in_flight: requests since the last call.
        :param now: seconds on the monotonic clock.
        """
        if self._updated_at is not None:
            self._request_seconds += in_flight * max(0, now - self._updated_at)
        self._updated_at = now

    def record_end(self) -> None:
        """Count one end."""
        self._request_seconds *= DECAY_FACTOR
        self._completed = self._completed * DECAY_FACTOR + 1

    def compute_mean(self) -> float | None:
        """Tell the mean stay.

        :returns: seconds, ``None`` before the first end.
        """
        return (
            self._request_seconds / self._completed if self._completed else None
        )
