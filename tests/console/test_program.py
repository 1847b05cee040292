from __future__ import annotations

import pathlib
import signal
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]
SETTINGS = """
[identity]
name = 'entry-1'
instance = 'i-1'
zone = '{zone}'
region = 'r{in_flight}'
[listen]
data_address = '127.0.0.1:8100'
admin_address = '127.0.0.1:8101'
peer_address = '127.0.0.1:8102'
[platform]
config_service = '127.0.0.1:9000'
host_list = '127.0.0.1:9001'
[requests]
default_deadline_seconds = 0.2
max_deadline_seconds = 0.3
[drain]
deadline_seconds = {deadline}
"""


def launch(
    directory: pathlib.Path,
    in_flight: int = 0,
    deadline: float = 60,
    zone: str = 'a',
) -> subprocess.Popen[str]:
    path = directory / 'entry.toml'
    path.write_text(
        SETTINGS.format(in_flight=in_flight, deadline=deadline, zone=zone)
    )
    return subprocess.Popen(
        [sys.executable, '-m', 'tests.console.program', str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        cwd=ROOT,
        env={'PYTHONPATH': f'{ROOT}/src'},
    )


# Requests in flight, drain deadline in seconds, signals; exit code and the
# last words.
ENDINGS = (
    (0, 60, 1, 0, '"cut":0'),
    (0, 60, 2, 0, '"cut":0'),
    (3, 60, 2, 4, 'second signal: 3 requests cut'),
    (5, 0.5, 1, 4, 'drain deadline: 5 requests cut'),
)


@pytest.mark.parametrize(
    ('in_flight', 'deadline', 'signals', 'code', 'words'), ENDINGS
)
def test_ending(
    tmp_path: pathlib.Path,
    in_flight: int,
    deadline: float,
    signals: int,
    code: int,
    words: str,
) -> None:
    process = launch(tmp_path, in_flight, deadline)
    assert process.stdout is not None
    assert process.stdout.readline() == 'started\n'
    process.send_signal(signal.SIGTERM)
    assert process.stdout.readline() == 'draining\n'
    if signals > 1:
        process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=20)
    assert process.returncode == code, errors
    assert words in errors
    assert '"message_type":"Stopped"' in errors


def test_a_hangup_signal_ends_nothing(tmp_path: pathlib.Path) -> None:
    """Processes ended with code 129.

    Sequence: the platform sends SIGHUP when the settings file has changed.
    Cause: the signal's default action.
    """
    process = launch(tmp_path, 0, 60)
    assert process.stdout is not None
    assert process.stdout.readline() == 'started\n'
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    assert process.stdout.readline() == 'draining\n'
    process.communicate(timeout=20)
    assert process.returncode == 0


# Settings, exit code and the start of the only line.
FAILURES = (
    ('taken', 60, 1, 'cannot run: [Errno 98] Address already in use'),
    ('peer-taken', 60, 1, 'cannot run: 127.0.0.1:8102: in use'),
    ('Z', 60, 2, ': identity.zone = "Z": allowed: 1 to 63 of'),
    ('a', 0.1, 2, ': drain.deadline_seconds = 0.1: allowed: at least'),
)


@pytest.mark.parametrize(('zone', 'deadline', 'code', 'words'), FAILURES)
def test_failure(
    tmp_path: pathlib.Path, zone: str, deadline: float, code: int, words: str
) -> None:
    process = launch(tmp_path, deadline=deadline, zone=zone)
    _, errors = process.communicate(timeout=20)
    assert process.returncode == code
    assert words in errors
    lines = errors.splitlines()
    plain = [line for line in lines if '"message_type"' not in line]
    assert len(plain) == 1
