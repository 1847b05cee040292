"""The platform's host list as the rest of the system sees it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ospreyford.ports.fleet import Host

#: Told of each newly read list.
HostListener = Callable[[tuple[Host, ...]], None]


class HostListPort(Protocol):
    """Reads the host list; it lags, and may be down."""

    async def read(self) -> tuple[Host, ...] | None:
        """Read the whole list.

        :returns: the hosts, or ``None`` when the platform does not answer.
        """
