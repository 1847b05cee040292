"""Starts and ends processes for tests and demos.

Only tests and demos use it: the product's own processes start none.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Self

import msgspec

import ospreyford

SOURCE = Path(ospreyford.__file__).parents[1]
POLL_SECONDS = 0.01
START_SECONDS = 20.0
END_SECONDS = 5.0


@dataclass(unsafe_hash=True)
class NotStarted(Exception):
    """A process ended, or stayed silent, before it told its ports.

    :param module: the module that was to run.
    :param exit_code: its exit code, or ``None`` if it still ran.
    :param errors: what it wrote to standard error.
    """

    module: str
    exit_code: int | None
    errors: str


class Output(msgspec.Struct, frozen=True):
    """Files that take a process's output: a full pipe would block it."""

    stdout: Path
    stderr: Path


class Launched:
    """A process that a launcher started.

    :param module: the module that it runs.
    :param popen: the process.
    :param output: where its output goes.
    """

    def __init__(
        self, module: str, popen: subprocess.Popen[bytes], output: Output
    ) -> None:
        self.module = module
        self.ports: dict[str, int] = {}
        self._popen = popen
        self._output = output

    @property
    def port(self) -> int:
        """The port that the process announced."""
        return self.ports['port']

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._popen.pid

    @property
    def errors(self) -> str:
        """What the process has written to standard error so far."""
        return self._output.stderr.read_text(errors='replace')

    @property
    def exit_code(self) -> int | None:
        """The exit code, or ``None`` while the process runs."""
        return self._popen.poll()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal: SIGKILL, SIGSTOP, SIGCONT, SIGTERM.

        :param number: the signal; a process that has ended gets none.
        """
        self._popen.send_signal(number)

    def pause(self) -> None:
        """Stop the process with SIGSTOP, and wait until it stands still.

        Signals that wait together are delivered by number: a SIGTERM right
        after an undelivered SIGSTOP would end a process meant to be paused.
        """
        self.signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.signal(signal.SIGCONT)

    def wait(self, seconds: float = END_SECONDS) -> int:
        """Wait for the process to end.

        :param seconds: how long to wait.
        :returns: its exit code.
        :raises subprocess.TimeoutExpired: it still runs.
        """
        return self._popen.wait(seconds)

    def stop(self, seconds: float = END_SECONDS) -> int:
        """Ask the process to end, and kill it if it doesn't in time.

        :param seconds: how long it may take.
        :returns: its exit code.
        """
        self.ask_to_end()
        try:
            return self.wait(seconds)
        except subprocess.TimeoutExpired:
            return self.kill()

    def ask_to_end(self) -> None:
        """Send SIGTERM, and SIGCONT in case the process is paused."""
        self.signal(signal.SIGTERM)
        self.resume()

    def kill(self) -> int:
        """End the process at once.

        :returns: its exit code.
        """
        self.signal(signal.SIGKILL)
        return self._popen.wait()

    def await_ports(self, seconds: float) -> None:
        """Wait for the line of JSON that names the ports.

        :param seconds: how long to wait.
        :raises NotStarted: no such line came.
        """
        deadline = time.monotonic() + seconds
        while b'\n' not in self._output.stdout.read_bytes():
            late = time.monotonic() > deadline
            if late or self.exit_code is not None:
                raise NotStarted(self.module, self.exit_code, self.errors)
            time.sleep(POLL_SECONDS)
        line = self._output.stdout.read_bytes().partition(b'\n')[0]
        try:
            self.ports = msgspec.json.decode(line, type=dict[str, int])
        except msgspec.MsgspecError as error:
            raise NotStarted(self.module, None, str(error)) from error


class Launcher:
    """Starts modules as processes and ends just these, also on errors.

    A program that uses it turns SIGTERM into an exception, or its own end
    would leave the processes behind.
    """

    def __init__(self) -> None:
        self._stack = ExitStack()
        self._directory = Path()
        self._launched: list[Launched] = []

    def __enter__(self) -> Self:
        """Make the directory of the outputs."""
        directory = tempfile.TemporaryDirectory(prefix='ospreyford-')
        self._directory = Path(self._stack.enter_context(directory))
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End every process that still runs."""
        with self._stack:
            for launched in self._launched:
                launched.ask_to_end()
            for ending in self._launched:
                ending.stop()

    def start(
        self,
        module: str,
        *options: str | int | float,
        seconds: float = START_SECONDS,
    ) -> Launched:
        """Start a module and wait until it has told its ports.

        :param module: the module, as ``python -m`` takes it.
        :param options: its command line.
        :param seconds: how long the ports may take.
        :returns: the process.
        :raises NotStarted: it told none in time; it has been ended.
        """
        launched = self.spawn(module, *options)
        try:
            launched.await_ports(seconds)
        except NotStarted:
            launched.kill()
            raise
        return launched

    def spawn(self, module: str, *options: str | int | float) -> Launched:
        """Start a module without waiting for anything.

        :param module: the module, as ``python -m`` takes it.
        :param options: its command line.
        :returns: the process.
        """
        stem = self._directory / str(len(self._launched))
        output = Output(stem.with_suffix('.out'), stem.with_suffix('.err'))
        command = (sys.executable, '-m', module, *map(str, options))
        with output.stdout.open('wb') as stdout:
            with output.stderr.open('wb') as stderr:
                popen = subprocess.Popen(
                    command,
                    stdin=subprocess.DEVNULL,
                    stdout=stdout,
                    stderr=stderr,
                    env={**os.environ, 'PYTHONPATH': str(SOURCE)},
                )
        launched = Launched(module, popen, output)
        self._launched.append(launched)
        return launched
