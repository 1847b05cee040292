"""How long ago anybody read the host list, as far as this process heard."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock

_AGE_BYTES: Final = 2
_MAX_AGE_SECONDS: Final = 65_535


class Readings:
    """Passes the age of the newest reading on, riding on probes.

    An age, not a time of day, is passed on, since the hosts' wall clocks
    differ. Each process adds up to a second. Without it the ages that a few
    processes tell each other would stay young after the last reader is gone,
    and nobody would read the list in its place.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._newest_at = -math.inf

    def record(self, requested_at: float) -> None:
        """Note a reading that succeeded.

        :param asked_at: monotonic time before the question was sent.
        """
        self._newest_at = max(self._newest_at, requested_at)

    def compute_age(self) -> float:
        """Tell the age of the newest reading.

        :returns: seconds; infinite while none was heard of.
        """
        return self._clock.monotonic() - self._newest_at

    def provide(self) -> bytes:
        """Write the age for a probe.

        :returns: two bytes, or none while there is no age to tell.
        """
        age = self.compute_age()
        if age >= _MAX_AGE_SECONDS:
            return b''
        return (int(age) + 1).to_bytes(_AGE_BYTES, 'big')

    def consume(self, _address: str, body: bytes) -> None:
        """Take over the age that came with a probe.

        :param _address: the sender.
        :param body: what its :meth:`provide` gave.
        """
        if len(body) == _AGE_BYTES:
            age = int.from_bytes(body, 'big')
            self.record(self._clock.monotonic() - age)
