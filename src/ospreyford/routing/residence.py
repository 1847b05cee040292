"""Mean residence time of requests at a backend."""

from __future__ import annotations

#: Decay of earlier requests at each completion.
DECAY_FACTOR = 0.95


class ResidenceTime:
    """Decayed mean residence time by Little's law."""

    def __init__(self) -> None:
        self._request_seconds: float = 0
        self._completed: float = 0
        self._updated_at: float | None = None

    def record_in_flight(self, in_flight: int, now: float) -> None:
        """Record the requests in flight until now.

        :param in_flight: requests in flight since the last call.
        :param now: seconds on the monotonic clock.
        """
        if self._updated_at is not None:
            self._request_seconds += in_flight * max(0, now - self._updated_at)
        self._updated_at = now

    def record_end(self) -> None:
        """Record the end of a request."""
        self._request_seconds *= DECAY_FACTOR
        self._completed = self._completed * DECAY_FACTOR + 1

    def compute_mean(self) -> float | None:
        """Compute the mean residence time.

        :returns: seconds, or ``None`` before the first completion.
        """
        return (
            self._request_seconds / self._completed if self._completed else None
        )
