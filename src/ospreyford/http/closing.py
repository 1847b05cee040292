"""A planned stop of a server, from the last new request to the last answer."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, Final, NamedTuple

import curio

if TYPE_CHECKING:
    from ospreyford.http.connections import OpenConnections

#: How often a server that stops looks whether all answers are out, in seconds.
POLL_SECONDS: Final = 0.05


class ClosingPace(NamedTuple):
    """How long the steps of a planned stop take, in seconds.

    :param accept: new connections are still taken for so long: a balancer
        learns of the stop with a lag.
    :param quiet: the stop ends when nothing was under way for so long.
    :param most: it ends after so long whatever is under way.
    """

    accept: float
    quiet: float
    most: float = math.inf


async def close_server(
    connections: OpenConnections,
    accepting: curio.Task,
    pace: ClosingPace,
    requested_at: float | None = None,
) -> None:
    """Take no more requests, and wait for the answers to those there are.

    :param connections: the server's.
    :param accepting: the task that accepts them; it is cancelled.
    :param pace: how long the steps take.
    :param requested_at: when the stop was asked for, on the monotonic clock;
        now if it is ``None``.
    """
    started = time.monotonic() if requested_at is None else requested_at
    take_until = started + pace.accept
    connections.start_closing(take_until)
    await curio.sleep(max(take_until - time.monotonic(), 0))
    await accepting.cancel()
    connections.stop_taking()
    quiet_since = time.monotonic()
    now = quiet_since
    while now - quiet_since < pace.quiet and now - started < pace.most:
        await curio.sleep(POLL_SECONDS)
        now = time.monotonic()
        if connections.count_busy():
            quiet_since = now
