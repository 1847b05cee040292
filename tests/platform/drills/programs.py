"""The entry and agent programs as processes on loopback."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple, Self

import msgspec

SOURCE = Path(__file__).parents[3] / 'src'
PORT = 7340
READY_PORT = 7300
FRONT_PORT = 7301
END_SECONDS = 5

NODE_FILE = """
NodeName={name}
Ip={ip}
Zone=a
Region=r
PortRange={port},{last_port}
Platform.Address={store}
Bounds.DrainMs={drain_ms}
Bounds.GraceS=8
Bounds.RevokeMs={revoke_ms}
Bounds.FailClosed=true
Bounds.RetryBudgetRatio=0.2
Bounds.RetryWindowS=10
Bounds.BudgetSlack=90
{other}
"""


class Site(NamedTuple):
    """What all processes share.

    :param directory: for settings and logs.
    :param store: address of the store.
    :param drain_ms: bound of requests to leaving replicas.
    :param revoke_ms: bound of withdrawn keys.
    """

    directory: Path
    store: tuple[str, int]
    drain_ms: int
    revoke_ms: int


class Program:
    """One process, restarted under the same name and address.

    :param site: what all processes share.
    :param role: ``entry`` or ``agent``.
    :param ip: its IP address.
    :param backend: on agents, the address of the rank beside it.
    """

    def __init__(
        self,
        site: Site,
        role: str,
        ip: str,
        backend: tuple[str, int] | None = None,
    ) -> None:
        self.ip = ip
        self.name = f'{role}-{ip}'
        self.starts = 0
        self._role = role
        self._site = site
        self._log_path = site.directory / f'{self.name}.log'
        self._settings_path = site.directory / f'{self.name}.conf'
        self._write_settings(backend)
        self._process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> Self:
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.kill()

    @property
    def front(self) -> tuple[str, int]:
        """Address for callers."""
        return self.ip, FRONT_PORT

    @property
    def is_running(self) -> bool:
        """Whether it was started and not killed."""
        return self._process is not None

    def start(self) -> None:
        """Start the process."""
        self.starts += 1
        environment = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': str(SOURCE),
            'OSPREYFORD_NODE_FILE': str(self._settings_path),
        }
        with self._log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'ospreyford.platform.start', self._role],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, name: str) -> None:
        """Send a signal.

        :param name: its name.
        """
        self._signal(signal.Signals[name])

    def poll(self) -> int | None:
        """Look whether the process has ended.

        :returns: its exit code, negative for a signal; ``None`` while it runs.
        """
        return None if self._process is None else self._process.poll()

    def read_memory(self) -> int:
        """Read the resident memory of the process.

        :returns: bytes; 0 if it does not run.
        """
        if self._process is None:
            return 0
        path = Path(f'/proc/{self._process.pid}/statm')
        return int(path.read_text().split()[1]) * os.sysconf('SC_PAGE_SIZE')

    def change_settings(self, slack: int) -> None:
        """Write the settings file anew, at once.

        :param slack: slack of the retry budget.
        """
        text = self._settings_path.read_text()
        changed = re.sub(r'(?<=BudgetSlack=)\d+', str(slack), text)
        new_path = self._settings_path.with_suffix('.new')
        new_path.write_text(changed)
        new_path.replace(self._settings_path)

    def pause(self) -> None:
        """Stop the process until it is resumed."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process run on."""
        self._signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process at once."""
        self._signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(END_SECONDS)
        self._process = None

    def read_log(self) -> list[dict[str, Any]]:
        """Read what the process logged, in order.

        :returns: the lines that are log events.
        """
        events = []
        for line in self._log_path.read_bytes().splitlines():
            try:
                event = msgspec.json.decode(line)
            except msgspec.DecodeError:
                event = {'message_type': 'unreadable', 'line': line.decode()}
            events.append(event)
        return events

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None:
            self._process.send_signal(number)

    def _write_settings(self, backend: tuple[str, int] | None) -> None:
        site = self._site
        host, port = site.store
        if backend is None:
            other = (
                f'Listen.Front={self.ip}:{FRONT_PORT}\n'
                f'Listen.Ready={self.ip}:{READY_PORT}'
            )
        else:
            other = f'app={backend[0]}:{backend[1]}'
        self._settings_path.write_text(
            NODE_FILE.format(
                name=self.name,
                ip=self.ip,
                port=PORT,
                last_port=PORT + 15,
                store=f'{host}:{port}',
                drain_ms=site.drain_ms,
                revoke_ms=site.revoke_ms,
                other=other,
            )
        )
