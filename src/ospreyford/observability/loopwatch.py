"""Watch for an event loop that runs its tasks late."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from ospreyford.observability.tallies import serve_tally

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from ospreyford.observability.logs import ChangeLog

CHECK_SECONDS: Final = 0.25
#: Shorter delays are not logged.
MIN_DELAY_SECONDS: Final = 0.25
MILLISECONDS: Final = 1000


@dataclass(frozen=True)
class LoopDelayed:
    """The event loop ran a task that was due so much later.

    :param delay_ms: delay, in milliseconds.
    :param processor_ms: processor time that the process used meanwhile. It is
        close to the delay if a task held the loop, and far below it if the
        process was paused or lacked processor time.
    """

    delay_ms: int
    processor_ms: int


class LoopWatch:
    """Measures the delay of the event loop.

    :param log: receives long delays.
    """

    def __init__(self, log: ChangeLog) -> None:
        #: Longest delay so far, in seconds.
        self.longest_delay: float = 0
        self._log = log

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = time.monotonic() + CHECK_SECONDS
            used = time.process_time()
            await curio.sleep(CHECK_SECONDS)
            self._record(time.monotonic() - due_at, time.process_time() - used)

    def _record(self, delay: float, processor: float) -> None:
        self.longest_delay = max(self.longest_delay, delay)
        if delay >= MIN_DELAY_SECONDS:
            self._log.log_change(
                LoopDelayed(
                    int(delay * MILLISECONDS), int(processor * MILLISECONDS)
                )
            )


def watch_loop(registry: CollectorRegistry, log: ChangeLog) -> LoopWatch:
    """Make a watch whose longest delay is among the metrics.

    :param registry: the process's metrics.
    :param log: receives long delays.
    :returns: the watch; its :meth:`LoopWatch.run` is still to be started.
    """
    watch = LoopWatch(log)
    serve_tally(
        registry,
        'ospreyford_loop_delay_seconds',
        'Longest delay of a task that was due.',
        watch,
        'longest_delay',
    )
    return watch
