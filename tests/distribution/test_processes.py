"""Distribution on real processes with a stand-in service."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import curio
import pytest

from ospreyford.standins.controls import ask, control
from ospreyford.standins.launcher import Launcher
from tests.distribution.node import LOOPBACK, SETTINGS

PROCESS_COUNT = 4
WAIT_SECONDS = 15.0
PAUSE_SECONDS = 2.5
ROOT = Path(__file__).parents[2]


class NodeProcesses:
    """The processes and the files of their output."""

    def __init__(self, service: int, directory: Path) -> None:
        self.ports = [str(port) for port in find_free_ports()]
        self._service = service
        self._directory = directory
        self._started = 0
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self._outputs: dict[str, Path] = {}

    def start(self, port: str) -> None:
        self._started += 1
        seed = str(self._started)
        output = self._directory / seed
        self._outputs[port] = output
        arguments = [seed, port, ','.join(self.ports), str(self._service)]
        with output.open('wb') as stream:
            self._running[port] = subprocess.Popen(
                [sys.executable, '-m', 'tests.distribution.node', *arguments],
                cwd=ROOT,
                env={'PYTHONPATH': f'{ROOT}/src:{ROOT}'},
                stdout=stream,
                stderr=subprocess.STDOUT,
            )

    def signal(self, port: str, number: signal.Signals) -> None:
        self._running[port].send_signal(number)

    def kill(self, port: str) -> None:
        process = self._running.pop(port)
        process.kill()
        process.wait()

    def kill_all(self) -> None:
        for port in tuple(self._running):
            self.kill(port)

    def lines(self, port: str) -> list[str]:
        return self._outputs[port].read_text().splitlines()

    def wait_for(self, port: str, line: str) -> None:
        wait_until(lambda: line in self.lines(port), self._outputs[port])


def wait_until(condition: Callable[[], bool], output: Path) -> None:
    end = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end, output.read_text()
        time.sleep(0.02)


def find_free_ports() -> list[int]:
    with ExitStack() as stack:
        taken = [
            stack.enter_context(socket.socket()) for _ in range(PROCESS_COUNT)
        ]
        for one in taken:
            one.bind((LOOPBACK, 0))
        return [one.getsockname()[1] for one in taken]


@pytest.fixture
def service() -> Iterator[int]:
    with Launcher() as launcher:
        yield launcher.start('ospreyford.standins.configservice').port


@pytest.fixture
def nodes(service: int, tmp_path: Path) -> Iterator[NodeProcesses]:
    started = NodeProcesses(service, tmp_path)
    try:
        yield started
    finally:
        started.kill_all()


def control_service(service: int, **fields: Any) -> None:
    curio.run(control, service, fields)


def publish(service: int, text: str) -> None:
    control_service(service, publish={'name': 'pool', 'text': text})


def test_rolling_replacement_and_pause(
    service: int, nodes: NodeProcesses
) -> None:
    """Guards against a rollback by restarts and a pause with a stale service.

    All processes but one restart while that one is stopped; it resumes, serves
    its snapshot, restarts too, and is then stopped during a change.
    """
    publish(service, 'first')
    for port in nodes.ports:
        nodes.start(port)
    for port in nodes.ports:
        nodes.wait_for(port, 'pool 1 first')
        nodes.wait_for(port, 'ready')
    control_service(service, mode='stale')
    publish(service, 'second')
    control_service(service, mode='flap')
    for port in nodes.ports:
        nodes.wait_for(port, 'pool 2 second')
    control_service(service, mode='stale')
    first, *others = nodes.ports
    nodes.signal(first, signal.SIGSTOP)
    for port in others:
        nodes.kill(port)
        nodes.start(port)
    time.sleep(PAUSE_SECONDS)
    for port in others:
        assert set(nodes.lines(port)) == {'waiting'}
    nodes.signal(first, signal.SIGCONT)
    for port in others:
        nodes.wait_for(port, 'ready')
    nodes.kill(first)
    nodes.start(first)
    nodes.wait_for(first, 'ready')
    nodes.signal(first, signal.SIGSTOP)
    control_service(service, mode='up')
    publish(service, 'third')
    for port in others:
        nodes.wait_for(port, 'pool 3 third')
    time.sleep(PAUSE_SECONDS)
    nodes.signal(first, signal.SIGCONT)
    nodes.wait_for(first, 'pool 3 third')
    for port in nodes.ports:
        changes = [one for one in nodes.lines(port) if one.startswith('pool')]
        assert changes == ['pool 2 second', 'pool 3 third']
    log = curio.run(ask, service, 'GET', '/calls').decode(object)
    busiest = max(log['per_second'].values())
    assert busiest <= SETTINGS.service_calls_per_second
