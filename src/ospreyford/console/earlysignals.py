"""Signals that arrive before a program handles them.

Imported before anything slow: import only the standard library here.
"""

from __future__ import annotations

import faulthandler
import signal
from typing import Final

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
#: Signals that programs handle; their default action ends the process.
HANDLED_SIGNALS: Final = (*STOP_SIGNALS, signal.SIGHUP)
#: Asks for the stack of the process.
STACK_SIGNAL: Final = signal.SIGUSR1


def hold_signals() -> None:
    """Keep the signals pending until they are released.

    Called first in a program; from the main thread only.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def dump_stack_on_signal() -> None:
    """Write the stack to standard error at each signal that asks for it.

    It does not wait for the event loop: it tells what holds it.
    """
    faulthandler.register(STACK_SIGNAL)


def release_signals() -> None:
    """Deliver pending signals, and later ones at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
