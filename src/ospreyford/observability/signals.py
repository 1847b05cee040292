"""Log event of the signals that a process gets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SignalReceived:
    """A signal asks the process to stop, or to read its settings again.

    :param signal: its name.
    :param in_flight: requests in flight.
    """

    signal: str
    in_flight: int
