"""Signals at the edges of a program's life."""

from __future__ import annotations

import faulthandler
import signal
import time
from collections.abc import Iterator

import curio
import pytest

from ospreyford.console.earlysignals import (
    HANDLED_SIGNALS,
    STACK_SIGNAL,
    dump_stack_on_signal,
    hold_signals,
)
from ospreyford.console.stopping import Stop
from ospreyford.observability.signals import SignalReceived


@pytest.fixture
def stop() -> Iterator[Stop]:
    """Give a stop whose signals are those of this process."""
    handlers = [signal.getsignal(number) for number in HANDLED_SIGNALS]
    held = Stop(5, may_repeat=True)
    yield held
    held.finish()
    for number, handler in zip(HANDLED_SIGNALS, handlers, strict=True):
        signal.signal(number, handler)


async def read_signals(stop: Stop) -> list[SignalReceived]:
    received: list[SignalReceived] = []
    stop.record_signal = received.append
    watching = await curio.spawn(stop.watch, daemon=True)
    await curio.sleep(0.05)
    await watching.cancel()
    return received


def test_signals_before_the_handlers_are_kept(stop: Stop) -> None:
    """SIGHUP ended a process that had not taken over its signals yet."""
    hold_signals()
    signal.raise_signal(signal.SIGHUP)
    signal.raise_signal(signal.SIGTERM)
    stop.install()
    received = curio.run(read_signals, stop)
    assert {one.signal for one in received} == {'SIGHUP', 'SIGTERM'}
    assert stop.hung_up.is_set()
    assert stop.requested.is_set()


def test_stop_begins_with_its_signal(stop: Stop) -> None:
    """A process short of processor time counted its stop from too late."""
    stop.install()
    before = time.monotonic()
    signal.raise_signal(signal.SIGTERM)
    noted = stop.requested_at
    time.sleep(0.02)
    signal.raise_signal(signal.SIGTERM)
    curio.run(read_signals, stop)
    assert noted is not None
    assert before <= noted <= before + 0.02
    assert stop.requested_at == noted


def test_signal_after_the_watch_is_ignored(stop: Stop) -> None:
    """A signal at a process's end left a traceback in its log."""
    stop.install()
    curio.run(read_signals, stop)
    signal.raise_signal(signal.SIGTERM)


def test_repeated_signal_does_not_end_the_watch(stop: Stop) -> None:
    """A second SIGTERM ended the process before its grace was over."""

    async def repeat() -> bool:
        watching = await curio.spawn(stop.watch, daemon=True)
        for _ in range(3):
            signal.raise_signal(signal.SIGTERM)
            await curio.sleep(0.02)
        is_over: bool = watching.terminated
        await watching.cancel()
        return is_over

    stop.install()
    assert not curio.run(repeat)


def test_stack_is_written_without_the_event_loop(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Nothing told what a process did whose event loop was held."""
    dump_stack_on_signal()
    signal.raise_signal(STACK_SIGNAL)
    faulthandler.unregister(STACK_SIGNAL)
    assert test_stack_is_written_without_the_event_loop.__name__ in (
        capfd.readouterr().err
    )
