"""Delays of the event loop."""

from __future__ import annotations

import time
from collections.abc import Callable

import curio
import pytest

from ospreyford.observability.loopwatch import LoopDelayed, LoopWatch
from tests.direct.backends import RecordingLog

HELD_SECONDS = 0.6


def compute() -> None:
    until = time.process_time() + HELD_SECONDS
    while time.process_time() < until:
        """Use the processor."""


def pause() -> None:
    time.sleep(HELD_SECONDS)


@pytest.mark.parametrize(('hold', 'is_busy'), [(compute, True), (pause, False)])
def test_delay_tells_a_held_loop_from_a_pause(
    hold: Callable[[], None], is_busy: bool
) -> None:
    """A process whose event loop was held looked like one that was paused."""
    log = RecordingLog()

    async def main() -> float:
        watch = LoopWatch(log)  # type: ignore[arg-type]
        await curio.spawn(watch.run, daemon=True)
        await curio.sleep(0)
        hold()
        await curio.sleep(0.1)
        return watch.longest_delay

    longest = curio.run(main)
    assert len(log.events) == 1
    delayed = log.find(LoopDelayed)[0]
    assert longest * 1000 >= delayed.delay_ms
    assert delayed.delay_ms >= 300
    assert (delayed.processor_ms >= delayed.delay_ms) == is_busy


def test_loop_in_time_has_no_line() -> None:
    log = RecordingLog()

    async def main() -> None:
        watch = LoopWatch(log)  # type: ignore[arg-type]
        await curio.spawn(watch.run, daemon=True)
        await curio.sleep(0.3)

    curio.run(main)
    assert log.events == []
