"""Tests of hedged requests from the dispatcher to the agents."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import curio
import pytest

from ospreyford.entry.call import Plan, RetryPolicy
from ospreyford.entry.outcome import (
    Abandoned,
    Answered,
    Cause,
    NotRun,
    Outcome,
    Unknown,
)
from ospreyford.entry.settings import RequestSettings
from ospreyford.ports.clock import SystemClock
from ospreyford.ports.fleet import LoadReport
from ospreyford.routing.budget import Allowance
from ospreyford.routing.query import Attempt, RoutingQuery
from ospreyford.routing.query import Outcome as RoutingOutcome
from ospreyford.wire.ids import create_id
from tests.faults.backend import expected_body
from tests.faults.network import Fault, Kind, Step
from tests.faults.rig import CollectingSink, Rig, make_call
from tests.routing.factories import make_hosts, make_query, make_router

SLOW, FAST = 'server-0', 'server-1'
HEDGE_AFTER_SECONDS = 0.02
SLOW_GAP_SECONDS = 0.2
HEDGED = RetryPolicy(
    hedge_after=HEDGE_AFTER_SECONDS, allowance=Allowance('i', 0.1, 0.1)
)
#: Enough for a cancel frame, less than the orphan timeout.
CANCEL_SECONDS = 0.15
BOTH = ((SLOW, Attempt.first), (FAST, Attempt.hedge))
FIRST_ALONE = BOTH[:1]
FULL = 100
NO_DEADLINE = float('inf')


class HedgeScenario:
    """A slow backend in the preferred pool and a fast one in the next."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.slow = rig.agents[0]
        self.fast = rig.agents[1]
        self.slow.backend.gap = SLOW_GAP_SECONDS
        self.entry = rig.make_entry()
        self.body_tag = create_id().encode()
        self.call = make_call(self.body_tag, idempotent=True)
        self.sink = CollectingSink()
        self.plan: Plan = rig.plan._replace(
            pools=((self.slow.host,), (self.fast.host,)), retry_policy=HEDGED
        )

    async def dispatch(self) -> Outcome:
        return await self.entry.dispatch(self.call, self.plan, self.sink)

    def check_whole(self) -> None:
        assert self.sink.whole
        assert self.sink.body == expected_body(self.body_tag)

    def count_hedges(self) -> float:
        rendered = self.rig.metrics.render().decode()
        lines = [
            line
            for line in rendered.splitlines()
            if line.startswith('ospreyford_hedges_total')
        ]
        return sum(float(line.split()[-1]) for line in lines)


def run_scenario(
    case: Callable[[HedgeScenario], Awaitable[None]], *faults: Fault
) -> None:
    """Run a case with a slow, possibly faulty backend and a fast one."""

    async def act() -> None:
        async with Rig(list(faults), []) as rig:
            await case(HedgeScenario(rig))

    curio.run(act)


def test_faster_hedge_wins_and_first_attempt_is_cancelled() -> None:
    """The losing attempt must be cancelled at its agent."""
    cancelled = Fault(Step.cancel, Kind.duplicate)

    async def case(scenario: HedgeScenario) -> None:
        assert await scenario.dispatch() == Answered()
        scenario.check_whole()
        assert scenario.rig.router.sent == list(BOTH)
        assert sorted(scenario.rig.router.finished) == [
            (SLOW, RoutingOutcome.outrun),
            (FAST, RoutingOutcome.answered),
        ]
        assert scenario.call.attempted_backends == [SLOW, FAST]
        assert scenario.count_hedges() == 1
        await curio.sleep(CANCEL_SECONDS)
        assert cancelled.done
        assert not scenario.slow.count_running()
        assert not scenario.slow.count_connections()
        assert scenario.fast.count_connections() == 1
        assert scenario.rig.count_runs(scenario.body_tag) == 2

    run_scenario(case, cancelled)


def test_first_attempt_may_win() -> None:
    """A slower hedge must not affect the first attempt's response."""

    async def case(scenario: HedgeScenario) -> None:
        scenario.slow.backend.gap = 2 * HEDGE_AFTER_SECONDS
        scenario.fast.backend.gap = SLOW_GAP_SECONDS
        assert await scenario.dispatch() == Answered()
        scenario.check_whole()
        assert scenario.rig.router.sent == list(BOTH)
        assert (FAST, RoutingOutcome.cancelled) in scenario.rig.router.finished
        await curio.sleep(CANCEL_SECONDS)
        assert not scenario.fast.count_running()
        assert not scenario.fast.count_connections()

    run_scenario(case)


def test_fast_response_is_not_hedged() -> None:
    async def case(scenario: HedgeScenario) -> None:
        set_retry_policy(hedge_after=1)(scenario)
        assert await scenario.dispatch() == Answered()
        assert scenario.rig.router.sent == list(FIRST_ALONE)

    run_scenario(case)


def set_retry_policy(**fields: Any) -> Callable[[HedgeScenario], None]:

    def change(scenario: HedgeScenario) -> None:
        extras = HEDGED._replace(**fields)
        scenario.plan = scenario.plan._replace(retry_policy=extras)

    return change


def make_non_idempotent(scenario: HedgeScenario) -> None:
    scenario.call = make_call(scenario.body_tag, idempotent=False)


def give_key(scenario: HedgeScenario) -> None:
    key = create_id()
    scenario.call = make_call(scenario.body_tag, idempotent=False, key=key)
    scenario.plan = scenario.plan._replace(homes=scenario.plan.homes[:1])


def remove_other(scenario: HedgeScenario) -> None:
    scenario.plan = scenario.plan._replace(pools=scenario.plan.pools[:1])


def allow_one_attempt(scenario: HedgeScenario) -> None:
    scenario.entry = scenario.rig.make_entry(1, RequestSettings(max_attempts=1))


def drain_other(scenario: HedgeScenario) -> None:
    register_other(scenario)
    report = LoadReport(incarnation='x', draining=True)
    scenario.rig.router.record_load(FAST, report, 0)


def fill_other(scenario: HedgeScenario) -> None:
    register_other(scenario)
    for _ in range(FULL):
        scenario.rig.router.record_sent(FAST, 0, Attempt.retry)
    scenario.rig.router.sent.clear()


def fail_other(scenario: HedgeScenario) -> None:
    register_other(scenario)
    now = SystemClock().monotonic()
    for _ in range(FULL):
        scenario.rig.router.record_finished(FAST, RoutingOutcome.failed, 0, now)


def register_other(scenario: HedgeScenario) -> None:
    """Make the router create its state of the other backend."""
    query = RoutingQuery(service='svc', customer='c', deadline=NO_DEADLINE)
    scenario.rig.router.choose(query, scenario.plan.pools[1], 0)


def spend_budget(scenario: HedgeScenario) -> None:
    while scenario.rig.router.spend_hedge(HEDGED.allowance):
        """Use up all hedges."""


@pytest.mark.parametrize(
    'change',
    [
        set_retry_policy(hedge_after=None),
        set_retry_policy(allowance=Allowance('i', 0.1, 0)),
        make_non_idempotent,
        give_key,
        remove_other,
        allow_one_attempt,
        drain_other,
        fill_other,
        fail_other,
        spend_budget,
    ],
)
def test_is_not_hedged(change: Callable[[HedgeScenario], None]) -> None:
    """Hedges need an idempotent call, budget and an available backend."""

    async def case(scenario: HedgeScenario) -> None:
        scenario.slow.backend.gap = 3 * HEDGE_AFTER_SECONDS
        change(scenario)
        assert await scenario.dispatch() == Answered()
        scenario.check_whole()
        assert scenario.call.attempted_backends == [SLOW]
        assert scenario.rig.count_runs(scenario.body_tag) == 1
        assert scenario.count_hedges() == 0

    run_scenario(case)


def test_nothing_is_hedged_while_others_wait_for_capacity() -> None:
    """Hedges must not take capacity that queued requests need."""

    async def case(scenario: HedgeScenario) -> None:
        scenario.plan = scenario.plan._replace(
            retry_policy=HEDGED._replace(hedge_after=0.1)
        )
        task = await curio.spawn(scenario.dispatch)
        while not scenario.rig.router.sent:
            await curio.sleep(0)
        call = make_call(b'', idempotent=True)
        room = scenario.rig.room
        waiter = await curio.spawn(
            room.wait, call, scenario.plan, partial(NotRun, Cause.overloaded, 1)
        )
        assert await task.join() == Answered()
        assert scenario.call.attempted_backends == [SLOW]
        await waiter.cancel()

    run_scenario(case)


def test_nothing_is_hedged_past_the_deadline() -> None:
    async def case(scenario: HedgeScenario) -> None:
        scenario.call = make_call(
            scenario.body_tag, idempotent=True, seconds=HEDGE_AFTER_SECONDS / 2
        )
        assert isinstance(await scenario.dispatch(), Unknown | NotRun)
        # If the first attempt cannot connect in time, a retry is allowed.
        kinds = [kind for _, kind in scenario.rig.router.sent]
        assert kinds
        assert Attempt.hedge not in kinds

    run_scenario(case)


def test_a_refused_hedge_leaves_the_request_unknown() -> None:
    """A refused hedge must not turn an unknown outcome into "not run"."""

    async def case(scenario: HedgeScenario) -> None:
        set_retry_policy(retries=0)(scenario)
        scenario.slow.backend.gap = 3 * HEDGE_AFTER_SECONDS
        scenario.slow.backend.die_after = 0
        scenario.fast.backend.refuse = True
        assert isinstance(await scenario.dispatch(), Unknown)
        assert scenario.call.attempted_backends == [SLOW, FAST]
        assert scenario.rig.count_runs(scenario.body_tag) == 1

    run_scenario(case)


def test_loser_is_cancelled_while_connecting() -> None:
    """A losing attempt must be cancelled before its connection is open."""

    async def case(scenario: HedgeScenario) -> None:
        assert await scenario.dispatch() == Answered()
        assert (SLOW, RoutingOutcome.outrun) in scenario.rig.router.finished
        await curio.sleep(CANCEL_SECONDS)
        assert not scenario.slow.count_connections()

    run_scenario(case, Fault(Step.greeting, Kind.lose))


@pytest.mark.parametrize('retries', [0, 2])
def test_attempts_stay_within_max_attempts(retries: int) -> None:
    """Hedges count as attempts."""

    async def case(scenario: HedgeScenario) -> None:
        set_retry_policy(retries=retries)(scenario)
        for agent in scenario.rig.agents:
            agent.backend.gap = 2 * HEDGE_AFTER_SECONDS
            agent.backend.die_after = 0
        assert isinstance(await scenario.dispatch(), Unknown)
        assert not scenario.sink.status
        assert scenario.call.attempted_backends == [SLOW, FAST]
        assert scenario.rig.router.sent == list(BOTH)

    run_scenario(case)


@pytest.mark.parametrize('step', [Step.start, Step.opened, Step.head])
def test_hedge_answers_when_the_first_attempt_is_lost(step: Step) -> None:
    """Losing the first attempt must not end a request with a running hedge."""

    async def case(scenario: HedgeScenario) -> None:
        scenario.slow.backend.gap = 2 * HEDGE_AFTER_SECONDS
        scenario.fast.backend.gap = 4 * HEDGE_AFTER_SECONDS
        assert await scenario.dispatch() == Answered()
        scenario.check_whole()
        assert len(scenario.rig.router.finished) == len(
            scenario.rig.router.sent
        )

    run_scenario(case, Fault(step, Kind.kill))


async def hang_up(scenario: HedgeScenario, task: curio.Task) -> None:
    scenario.sink.gone = True
    assert await task.join() == Abandoned()


async def stop_entry(scenario: HedgeScenario, task: curio.Task) -> None:
    await task.cancel()


@pytest.mark.parametrize('end', [hang_up, stop_entry])
def test_ended_request_leaves_nothing_running(
    end: Callable[[HedgeScenario, curio.Task], Awaitable[None]],
) -> None:
    """Attempts must not outlive a cancelled or abandoned request."""

    async def case(scenario: HedgeScenario) -> None:
        scenario.fast.backend.gap = SLOW_GAP_SECONDS
        task = await curio.spawn(scenario.dispatch)
        while scenario.rig.count_runs(scenario.body_tag) < 2:
            await curio.sleep(HEDGE_AFTER_SECONDS)
        await end(scenario, task)
        assert not scenario.sink.status
        assert sorted(scenario.rig.router.finished) == [
            (SLOW, RoutingOutcome.cancelled),
            (FAST, RoutingOutcome.cancelled),
        ]
        await curio.sleep(CANCEL_SECONDS)
        for agent in scenario.rig.agents:
            assert not agent.count_running()
            assert not agent.count_connections()

    run_scenario(case)


def test_hedged_slow_backend_is_ejected() -> None:
    """Attempts overtaken by hedges must count against the slow backend."""
    router = make_router()
    hosts = make_hosts(3)
    router.choose(make_query(), hosts, 0)
    for _ in range(12):
        for host in hosts[1:]:
            router.record_finished(host.name, RoutingOutcome.answered, 0.1, 1)
        router.record_finished(hosts[0].name, RoutingOutcome.outrun, 0.8, 1)
    assert router.list_ejected(1) == [hosts[0]]
