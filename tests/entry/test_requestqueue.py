"""Tests of requests queued for capacity."""

from __future__ import annotations

import random
from typing import Any

import curio
import pytest

from ospreyford.entry.attemptspec import AttemptSpec
from ospreyford.entry.dispatcher import Dispatcher
from ospreyford.entry.outcome import Answered, Cause, NotRun
from ospreyford.entry.requestqueue import RequestQueue
from ospreyford.entry.sender import AttemptDependencies
from ospreyford.entry.settings import AttemptSettings, RequestSettings
from ospreyford.limits.settings import QueueSettings
from ospreyford.observability.metrics import Metrics
from ospreyford.ports.clock import SystemClock
from ospreyford.ports.fleet import Host
from ospreyford.routing.query import Attempt, Identity
from ospreyford.routing.router import Router
from ospreyford.routing.settings import RoutingSettings
from ospreyford.wire.pool import ConnectionPool, PoolSettings
from tests.faults.rig import Rig, make_call, send

CLOCK = SystemClock()
#: The wait is long enough for a busy machine.
SETTINGS = QueueSettings(length=3, customer_length=2, max_wait_seconds=1)
#: Requests never expire within a test.
LONG_WAIT_SETTINGS = QueueSettings(max_wait_seconds=60)
#: Within the silence timeout of the rig's agents.
ATTEMPT_SETTINGS = AttemptSettings(beat_seconds=0.05)
PLAN = Rig().plan


def make_dispatcher(rig: Rig, queue: RequestQueue) -> Dispatcher:
    """Make a dispatcher that sends one request at a time to a backend."""
    router = Router(
        RoutingSettings(max_load=1.2, slow_start_seconds=0.001),
        Identity('e', 'z', 'r'),
        random.Random(1),
    )
    pool = ConnectionPool(PoolSettings(), CLOCK)
    metrics = Metrics().requests
    dependencies = AttemptDependencies(
        ATTEMPT_SETTINGS, router, pool, CLOCK, metrics, queue
    )
    return Dispatcher(RequestSettings(), dependencies, rig.directory)


class LimitedCapacity:
    """Backends that accept a limited number of requests."""

    def __init__(self, remaining: int) -> None:
        self.left = remaining

    def select(self) -> AttemptSpec | NotRun:
        if not self.left:
            return NotRun(Cause.overloaded, 1)
        self.left -= 1
        host = Host('s', 'i', 'backend', 'z', 'r', 'svc', '', '')
        return AttemptSpec(host, Attempt.first, 'e', 0, ())


def make_customer_call(customer: str) -> Any:
    return make_call(b'a', idempotent=True)._replace(customer=customer)


@pytest.mark.parametrize('turns', [0, 1, 9])
@pytest.mark.parametrize('leaving', [0, 2])
def test_every_waiter_is_served_or_refused(turns: int, leaving: int) -> None:
    """No request may stay queued until its deadline, whatever happens."""

    async def main() -> tuple[list[Any], int]:
        queue = RequestQueue(SETTINGS, CLOCK)
        capacity = LimitedCapacity(0)
        tasks = [
            await curio.spawn(
                queue.wait, make_customer_call(name), PLAN, capacity.select
            )
            for name in ('a', 'a', 'a', 'b', 'c', 'c')
        ]
        await curio.sleep(0)
        for task in tasks[:leaving]:
            await task.cancel()
        capacity.left = turns
        polling = await curio.spawn(queue.run)
        async with curio.timeout_after(20):
            results = [await task.join() for task in tasks[leaving:]]
        await polling.cancel()
        return results, len(queue)

    results, left = curio.run(main)
    assert left == 0
    refusals = [each for each in results if isinstance(each, NotRun)]
    served = len(results) - len(refusals)
    assert served == min(turns, 3 - leaving // 2)
    told = [(each.cause, each.retry_after > 0) for each in refusals]
    assert told == [(Cause.overloaded, True)] * len(refusals)


def test_full_queue_refuses_immediately() -> None:
    async def main() -> Any:
        queue = RequestQueue(SETTINGS, CLOCK)
        arguments = (make_customer_call('a'), PLAN, LimitedCapacity(0).select)
        for _ in range(2):
            await curio.spawn(queue.wait, *arguments, daemon=True)
        await curio.sleep(0)
        # The queue is not polled: a queued request would never be resolved.
        async with curio.timeout_after(10):
            return await queue.wait(*arguments)

    assert curio.run(main) == NotRun(Cause.overloaded, 1)


def test_services_do_not_block_each_other() -> None:
    """An overloaded service must not block other services' requests."""

    async def main() -> Any:
        queue = RequestQueue(LONG_WAIT_SETTINGS, CLOCK)
        busy = (make_customer_call('a'), PLAN, LimitedCapacity(0).select)
        await curio.spawn(queue.wait, *busy, daemon=True)
        await curio.spawn(queue.run, daemon=True)
        await curio.sleep(0)
        other = make_customer_call('b')._replace(service='other')
        async with curio.timeout_after(10):
            return await queue.wait(other, PLAN, LimitedCapacity(1).select)

    assert isinstance(curio.run(main), AttemptSpec)


def test_waiter_is_served_when_capacity_frees_in_time() -> None:
    """A request tried without success must stay queued."""

    async def main() -> list[Any]:
        async with Rig([]) as rig:
            rig.agents[0].backend.gap = 0.06
            queue = RequestQueue(LONG_WAIT_SETTINGS, CLOCK)
            entry = make_dispatcher(rig, queue)
            polling = await curio.spawn(queue.run)
            tasks = []
            for _ in range(3):
                call = make_call(b'a', idempotent=True)
                tasks.append(await curio.spawn(send, rig, entry, call))
            outcomes = [(await task.join())[0] for task in tasks]
            await polling.cancel()
            return outcomes

    assert curio.run(main) == [Answered()] * 3
