from __future__ import annotations

import os
import re
import signal
from typing import Any

import curio
import pytest

from ospreyford.standins.controls import ask
from ospreyford.standins.launcher import Launched, Launcher, NotStarted

PLAIN = 'ospreyford.standins.plain'
SLEEP = '__import__("time").sleep(5)'


class DeliberateError(Exception):
    """Raised by a test while processes run."""


def is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def start_and_fail(started: list[Launched]) -> None:
    with Launcher() as launcher:
        started.extend(launcher.start(PLAIN) for _ in range(2))
        started[0].pause()
        raise DeliberateError


def test_processes_end_also_on_errors() -> None:
    # Symptom: processes outlive a failed test, or must be killed. Sequence:
    # start, pause one, error. Cause: a paused process doesn't act on SIGTERM
    # until it is continued.
    started: list[Launched] = []
    with pytest.raises(DeliberateError):
        start_and_fail(started)
    codes = [launched.exit_code for launched in started]
    assert codes == [-signal.SIGTERM, -signal.SIGTERM]
    assert not any(is_running(launched.pid) for launched in started)


@pytest.mark.parametrize(
    ('module', 'options', 'seconds', 'error'),
    [
        ('ospreyford.unheard_of', (), 20, 'No module named'),
        (PLAIN, ('--port', 'high'), 20, 'ValidationError'),
        ('timeit', ('-n1', '-r1', SLEEP), 0.5, '^$'),
        ('timeit', ('-n1', '-r1', 'pass'), 20, 'Expected'),
    ],
)
def test_process_without_port_line_is_refused(
    launcher: Launcher, module: str, options: Any, seconds: float, error: str
) -> None:
    with pytest.raises(NotStarted) as caught:
        launcher.start(module, *options, seconds=seconds)
    assert re.search(error, caught.value.errors)


def test_port_line_names_a_working_port(launcher: Launcher) -> None:
    launched = launcher.start(PLAIN)
    assert curio.run(ask, launched.port, 'GET', '/journal').body == b'[]'
    assert launched.stop() == -signal.SIGTERM
