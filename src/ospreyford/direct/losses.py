"""Requests that backends broke off without being seen down."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from ospreyford.direct.registry import BackendServer
    from ospreyford.suspects.suspect import Suspect

#: Time in which a backend that broke off requests and listens again may
#: register as another process.
RESTART_SECONDS = 3.0
#: Lost requests remembered for that time.
MAX_LOSSES: Final = 256


class Loss(NamedTuple):
    """A request that a backend broke off.

    :param suspects: the request and the parts of its prompt; their strikes are
        not considered.
    :param request_id: the caller's request id.
    :param server: the backend's registration.
    :param lost_at: when, in seconds on the monotonic clock.
    """

    suspects: tuple[Suspect, ...]
    request_id: str
    server: BackendServer
    lost_at: float


class RecentLosses:
    """Losses whose backend may turn out to have been replaced."""

    def __init__(self) -> None:
        self._losses: list[Loss] = []

    def add(self, loss: Loss) -> None:
        """Remember a loss.

        :param loss: the loss.
        """
        self._losses = [*self._losses[1 - MAX_LOSSES :], loss]

    def take_replaced(self, server: BackendServer) -> list[Loss]:
        """Take the losses whose backend a newly registered one has replaced.

        :param server: the new registration.
        :returns: losses at the same address by another process.
        """
        oldest = time.monotonic() - RESTART_SECONDS
        recent = [one for one in self._losses if one.lost_at > oldest]
        replaced = [one for one in recent if _is_replaced(one.server, server)]
        self._losses = [one for one in recent if one not in replaced]
        return replaced


def _is_replaced(lost: BackendServer, server: BackendServer) -> bool:
    is_same_address = (lost.host, lost.port) == (server.host, server.port)
    return is_same_address and not lost.is_same_incarnation(server)
