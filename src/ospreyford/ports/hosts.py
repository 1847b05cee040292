"""Port to the platform's host list."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ospreyford.ports.fleet import Host

#: Called with each new host list.
HostListener = Callable[[tuple[Host, ...]], None]


class HostListPort(Protocol):
    """Reads the host list, which may be stale or unavailable."""

    async def read(self) -> tuple[Host, ...] | None:
        """Read the whole list.

        :returns: the hosts, or ``None`` if the platform does not respond.
        """
