"""Check whether a backend that broke off a request is down."""

from __future__ import annotations

import time
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import curio

if TYPE_CHECKING:
    from ospreyford.direct.registry import BackendServer

#: Time for opening a connection; a lost host does not respond at all.
CONNECT_SECONDS = 0.2
#: Age up to which a finding serves the other requests of the same backend.
FINDING_SECONDS = 0.5
#: Findings remembered; all are forgotten when the limit is reached.
MAX_FINDINGS = 1024


class Finding(Enum):
    """What became of a backend that broke off a request."""

    #: Its host responds, and nothing listens at its address.
    down = 'down'
    #: Something listens at its address: the connection was reset without a
    #: crash, or another process has started.
    listening = 'listening'
    #: Its host does not respond.
    silent = 'silent'


class _Checked(NamedTuple):
    finding: Finding
    checked_at: float


class CrashChecker:
    """Checks backends by opening a connection, once for many requests."""

    def __init__(self) -> None:
        #: Connections opened for checks.
        self.opened = 0
        self._findings: dict[tuple[str, int], _Checked] = {}
        self._locks: dict[tuple[str, int], curio.Lock] = {}

    async def check(self, server: BackendServer) -> Finding:
        """Check a backend.

        :param server: its registration.
        :returns: whether it is down.
        """
        incarnation = server.get_incarnation()
        if len(self._locks) > MAX_FINDINGS:
            self._locks.clear()
            self._findings.clear()
        lock = self._locks.setdefault(incarnation, curio.Lock())
        async with lock:
            known = self._findings.get(incarnation)
            if (
                known is not None
                and time.monotonic() < known.checked_at + FINDING_SECONDS
            ):
                return known.finding
            finding = await self._connect(server)
            self._findings[incarnation] = _Checked(finding, time.monotonic())
            return finding

    async def _connect(self, server: BackendServer) -> Finding:
        self.opened += 1
        try:
            connection = await curio.timeout_after(
                CONNECT_SECONDS, curio.open_connection, server.host, server.port
            )
        except (ConnectionRefusedError, ConnectionResetError):
            return Finding.down
        except (OSError, curio.TaskTimeout):
            return Finding.silent
        await connection.close()
        return Finding.listening
