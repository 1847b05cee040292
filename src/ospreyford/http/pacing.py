"""Pace at which messages are read from peers that send without end.

A read returns at once while bytes are there, so a task that reads and parses
them in a loop gives way to no other task: neither time limits nor signals are
handled.
"""

from __future__ import annotations

import time
from typing import Final

import curio

#: Units of each message before its first turn.
MESSAGE_UNITS: Final = 32
#: Units for each second in which the peer is waited for.
UNITS_PER_SECOND: Final = 64
#: Units for each turn of a peer that has used up its units.
TURN_UNITS: Final = 32
#: Time between two turns of all peers together, in seconds.
TURN_SECONDS: Final = 0.004
#: Part of a unit for each event of a stream, beside those of the parser.
STREAM_EVENT_UNITS: Final = 0.25
#: Content that costs as much as one more event of the parser.
BYTES_PER_UNIT: Final = 16_384


class Pacer:
    """Gives turns to the peers that have used up their allowances.

    All of them together get a bounded part of the processor, however many
    there are.
    """

    def __init__(self) -> None:
        #: Number of turns.
        self.turns = 0
        self._next_at: float = 0
        self._lock = curio.Lock()

    async def wait_turn(self) -> None:
        """Wait for a turn; other tasks run in any case."""
        async with self._lock:
            await curio.sleep(max(self._next_at - time.monotonic(), 0))
            self._next_at = time.monotonic() + TURN_SECONDS
        self.turns += 1


class ReadingAllowance:
    """Limits the work that the messages of one peer cause at a time.

    A unit is one event of the parser, or 16 KiB of content.

    :param pacer: gives turns once the units are used up.
    """

    def __init__(self, pacer: Pacer) -> None:
        #: What is left; at zero the next event must wait for :meth:`settle`.
        self.units: float = MESSAGE_UNITS
        self._pacer = pacer

    def charge(self, size: int) -> None:
        """Count an event of the parser.

        :param size: its content, in bytes.
        """
        self.units -= 1 + size / BYTES_PER_UNIT

    def charge_stream(self, events: int) -> None:
        """Count events of a stream that were found in its content.

        :param events: number of events.
        """
        self.units -= events * STREAM_EVENT_UNITS

    def refill(self, seconds: float) -> None:
        """Count time for which the peer was waited for.

        :param seconds: the time.
        """
        refilled = self.units + seconds * UNITS_PER_SECOND
        self.units = min(refilled, MESSAGE_UNITS)

    def renew(self) -> None:
        """Begin another message."""
        self.units = MESSAGE_UNITS

    async def settle(self) -> None:
        """Wait until the next event may be parsed."""
        while self.units <= 0:
            await self._pacer.wait_turn()
            self.units += TURN_UNITS
