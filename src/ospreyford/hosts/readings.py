"""Age of the newest reading of the host list by any process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock

_AGE_BYTES: Final = 2
_MAX_AGE_SECONDS: Final = 65_535


class Readings:
    """Gossips the age of the newest reading, piggybacked on probes.

    Ages, unlike timestamps, do not depend on wall clocks. They are rounded
    up, so that they never decrease by being passed on.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._newest_at = -math.inf

    def record(self, requested_at: float) -> None:
        """Record a successful reading.

        :param requested_at: monotonic time before the request was sent.
        """
        self._newest_at = max(self._newest_at, requested_at)

    def compute_age(self) -> float:
        """Compute the age of the newest reading.

        :returns: seconds; infinite while no reading is known.
        """
        return self._clock.monotonic() - self._newest_at

    def provide(self) -> bytes:
        """Encode the age for a probe.

        :returns: two bytes; empty while no reading is known.
        """
        age = self.compute_age()
        if age >= _MAX_AGE_SECONDS:
            return b''
        return (int(age) + 1).to_bytes(_AGE_BYTES, 'big')

    def consume(self, _address: str, body: bytes) -> None:
        """Merge the age received with a probe.

        :param _address: the sender's peer address.
        :param body: the encoded age.
        """
        if len(body) == _AGE_BYTES:
            age = int.from_bytes(body, 'big')
            self.record(self._clock.monotonic() - age)
