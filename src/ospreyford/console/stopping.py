"""Signals that end a program: first gracefully, then at once."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from types import FrameType

import curio
from curio.io import Socket

from ospreyford.console.earlysignals import (
    HANDLED_SIGNALS,
    STOP_SIGNALS,
    release_signals,
)
from ospreyford.observability.signals import SignalReceived

READ_BYTES = 16


@dataclass(frozen=True)
class Cut:
    """The program was ended with work in flight.

    :param in_flight: requests that were cut.
    :param cause: ``second signal`` or ``drain deadline``.
    """

    in_flight: int
    cause: str


class Stop:
    """Tells a program when to stop, and when to read its settings again.

    The program waits for ``requested``, then takes no new work, finishes what
    is in flight and returns. Until then it keeps ``count_in_flight`` set.
    ``hung_up`` is set by each SIGHUP; who reads the settings clears it.

    :param deadline: seconds from the first signal until the program is cut.
    :param may_repeat: whether a second signal asks for nothing more than the
        first one. Otherwise it cuts the program at once.
    """

    def __init__(self, deadline: float, *, may_repeat: bool = False) -> None:
        self.requested = curio.Event()
        self.hung_up = curio.Event()
        self.deadline = deadline
        #: When the first signal that asks to stop came, on the monotonic clock.
        self.requested_at: float | None = None
        self._may_repeat = may_repeat
        self.count_in_flight: Callable[[], int] = _count_nothing
        #: Called with each signal.
        self.record_signal: Callable[[SignalReceived], None] = _record_nothing
        self._pair = socket.socketpair()
        for end in self._pair:
            end.setblocking(False)

    def install(self) -> None:
        """Take over the signals; from the main thread only."""
        # The handler only notes the time: code run between two bytecodes of
        # the event loop must not touch its locks. The C library's handler
        # writes the signal's number to the socket, which wakes the loop.
        signal.set_wakeup_fd(self._pair[0].fileno(), warn_on_full_buffer=False)
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._note_time)
        release_signals()

    def finish(self) -> None:
        """Ignore the signals from now on; the process is about to end."""
        # A supervisor may send its second signal while the process is
        # already ending well. With the default action back in place, which
        # the interpreter itself would restore, the exit code would tell of
        # a kill although nothing was cut.
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)
        for end in self._pair:
            end.close()

    async def watch(self) -> Cut:
        """Wait for the signals.

        :returns: why the program's work is cut, and how much.
        """
        # It stays open until the signals are ignored: the C library's handler
        # writes to its other end.
        wakeups = Socket(self._pair[1])
        await self._wait_for_signal(wakeups)
        await self.requested.set()
        cause = 'drain deadline'
        with suppress(curio.TaskTimeout):
            await curio.timeout_after(
                self.deadline, self._wait_for_second, wakeups
            )
            cause = 'second signal'
        # What is left to do is bounded only as far as the program's own code
        # is; a third signal ends even a program that hangs in it.
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_DFL)
        return Cut(self.count_in_flight(), cause)

    def _note_time(self, number: int, frame: FrameType | None) -> None:
        """Note when a stop begins, however late the event loop learns of it."""
        if number in STOP_SIGNALS and self.requested_at is None:
            self.requested_at = time.monotonic()

    async def _wait_for_second(self, wakeups: Socket) -> None:
        await self._wait_for_signal(wakeups)
        while self._may_repeat:
            await self._wait_for_signal(wakeups)

    def _record(self, received: bytes) -> None:
        for number in received:
            if number in HANDLED_SIGNALS:
                name = signal.Signals(number).name
                event = SignalReceived(name, self.count_in_flight())
                self.record_signal(event)

    async def _wait_for_signal(self, wakeups: Socket) -> None:
        while True:
            received: bytes = await wakeups.recv(READ_BYTES)
            self._record(received)
            if signal.SIGHUP in received:
                await self.hung_up.set()
            # Other signals, such as SIGCHLD, come through the same socket.
            if any(number in STOP_SIGNALS for number in received):
                return


def _record_nothing(event: SignalReceived) -> None:
    """Leave the signal out of the log."""


def _count_nothing() -> int:
    return 0
