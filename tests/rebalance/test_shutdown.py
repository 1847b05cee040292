"""Graceful shutdown of a coordinator that is replaced meanwhile."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any, NamedTuple

import curio
import pytest

from ospreyford.rebalance.election import Election
from ospreyford.rebalance.shutdown import GracefulShutdown
from tests.fakes.clock import FakeClock

ME = ('10.0.0.1', 7)
OTHER = ('10.0.0.2', 7)
MAX_STOP_SECONDS = 1.0
REPORT_SECONDS = 0.1


class RecordingSocket:
    """Records sent messages."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    async def send(self, message: Any, address: Any) -> None:
        self.sent.append((message, address))


class Stopped(NamedTuple):
    """Actions of a stopped agent."""

    took: float
    leave_requests: int
    stood_again: bool


async def replace_while_stopping(*, is_busy: bool) -> Stopped:
    clock = FakeClock()
    election = Election(ME, clock)
    clock.advance(0.5)
    assert election.campaign((ME, OTHER), 0)
    datagram_socket: Any = RecordingSocket()
    entries: Any = SimpleNamespace(members=(ME, OTHER))
    order_executor: Any = SimpleNamespace(is_busy=bool)
    shutdown = GracefulShutdown(
        ME, datagram_socket, election, entries, order_executor
    )
    leader: Any = SimpleNamespace(leave=int, is_busy=lambda: is_busy)
    began = time.monotonic()
    task = await curio.spawn(
        shutdown.run, leader, began + MAX_STOP_SECONDS, REPORT_SECONDS
    )
    await curio.sleep(0.05)
    election.handle_heartbeat(election.highest_token + 128, OTHER)
    await curio.sleep(0.05)
    asked = sum(address == OTHER for _, address in datagram_socket.sent)
    clock.advance(1)
    stood = election.campaign((ME, OTHER), 0)
    await task.join()
    return Stopped(time.monotonic() - began, asked, stood)


@pytest.mark.parametrize('is_busy', [False, True])
def test_replaced_coordinator_requests_leave_from_its_successor(
    is_busy: bool,
) -> None:
    """Guards against waiting on a stale view, or a second election."""
    stopped = curio.run(lambda: replace_while_stopping(is_busy=is_busy))
    assert stopped.leave_requests > 0
    assert not stopped.stood_again
