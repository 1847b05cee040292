"""Second attempts beside slow first ones, over the real path."""

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
from ospreyford.wire.identity import make_id
from tests.faults.backend import expected_body
from tests.faults.network import Fault, Kind, Step
from tests.faults.rig import CollectingSink, Rig, make_call
from tests.routing.factories import make_hosts, make_query, make_router

SLOW, FAST = 'server-0', 'server-1'
AFTER = 0.02
SLOW_GAP = 0.2
HEDGED = RetryPolicy(hedge_after=AFTER, allowance=Allowance('i', 0.1, 0.1))
#: Long enough for a cancel frame, short of the sweep of orphans.
SOON = 0.15
BOTH = ((SLOW, Attempt.first), (FAST, Attempt.hedge))
FIRST_ALONE = BOTH[:1]
FULL = 100
FOR_EVER = float('inf')


class Duel:
    """A slow back end in the preferred pool and a quick one in the next."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.slow = rig.agents[0]
        self.fast = rig.agents[1]
        self.slow.backend.gap = SLOW_GAP
        self.entry = rig.make_entry()
        self.tag = make_id().encode()
        self.call = make_call(self.tag, idempotent=True)
        self.sink = CollectingSink()
        self.plan: Plan = rig.plan._replace(
            pools=((self.slow.host,), (self.fast.host,)), retry_policy=HEDGED
        )

    async def dispatch(self) -> Outcome:
        return await self.entry.dispatch(self.call, self.plan, self.sink)

    def check_whole(self) -> None:
        assert self.sink.whole
        assert self.sink.body == expected_body(self.tag)

    def count_hedges(self) -> float:
        rendered = self.rig.metrics.render().decode()
        lines = [
            line
            for line in rendered.splitlines()
            if line.startswith('ospreyford_hedges_total')
        ]
        return sum(float(line.split()[-1]) for line in lines)


def run_duel(play: Callable[[Duel], Awaitable[None]], *faults: Fault) -> None:
    """Play with a slow back end, hit by the faults, and a quick one."""

    async def act() -> None:
        async with Rig(list(faults), []) as rig:
            await play(Duel(rig))

    curio.run(act)


def test_the_quicker_answer_wins_and_the_other_stops() -> None:
    """An engine goes on with an answer that nobody waits for.

    Sequence: the first attempt is slow, a second one answers.
    Cause: the loser's task ends without telling its agent.
    """
    cancelled = Fault(Step.cancel, Kind.duplicate)

    async def play(duel: Duel) -> None:
        assert await duel.dispatch() == Answered()
        duel.check_whole()
        assert duel.rig.router.sent == list(BOTH)
        assert sorted(duel.rig.router.finished) == [
            (SLOW, RoutingOutcome.outrun),
            (FAST, RoutingOutcome.answered),
        ]
        assert duel.call.attempted_backends == [SLOW, FAST]
        assert duel.count_hedges() == 1
        await curio.sleep(SOON)
        assert cancelled.done
        assert not duel.slow.count_running()
        assert not duel.slow.count_connections()
        assert duel.fast.count_connections() == 1
        assert duel.rig.count_runs(duel.tag) == 2

    run_duel(play, cancelled)


def test_the_first_attempt_may_win() -> None:
    """A hedge that is slower than the first attempt spoils its answer."""

    async def play(duel: Duel) -> None:
        duel.slow.backend.gap = 2 * AFTER
        duel.fast.backend.gap = SLOW_GAP
        assert await duel.dispatch() == Answered()
        duel.check_whole()
        assert duel.rig.router.sent == list(BOTH)
        assert (FAST, RoutingOutcome.cancelled) in duel.rig.router.finished
        await curio.sleep(SOON)
        assert not duel.fast.count_running()
        assert not duel.fast.count_connections()

    run_duel(play)


def test_a_quick_answer_is_not_hedged() -> None:
    async def play(duel: Duel) -> None:
        use_extras(hedge_after=1)(duel)
        assert await duel.dispatch() == Answered()
        assert duel.rig.router.sent == list(FIRST_ALONE)

    run_duel(play)


def use_extras(**fields: Any) -> Callable[[Duel], None]:
    """Change what the intent allows."""

    def change(duel: Duel) -> None:
        extras = HEDGED._replace(**fields)
        duel.plan = duel.plan._replace(retry_policy=extras)

    return change


def forbid_repeating(duel: Duel) -> None:
    duel.call = make_call(duel.tag, idempotent=False)


def give_key(duel: Duel) -> None:
    key = make_id()
    duel.call = make_call(duel.tag, idempotent=False, key=key)
    duel.plan = duel.plan._replace(homes=duel.plan.homes[:1])


def leave_one_alone(duel: Duel) -> None:
    duel.plan = duel.plan._replace(pools=duel.plan.pools[:1])


def allow_one_attempt(duel: Duel) -> None:
    duel.entry = duel.rig.make_entry(1, RequestSettings(max_attempts=1))


def drain_other(duel: Duel) -> None:
    know_other(duel)
    report = LoadReport(incarnation='x', draining=True)
    duel.rig.router.record_load(FAST, report, 0)


def fill_other(duel: Duel) -> None:
    know_other(duel)
    for _ in range(FULL):
        duel.rig.router.record_sent(FAST, 0, Attempt.retry)
    duel.rig.router.sent.clear()


def fail_other(duel: Duel) -> None:
    know_other(duel)
    now = SystemClock().monotonic()
    for _ in range(FULL):
        duel.rig.router.record_finished(FAST, RoutingOutcome.failed, 0, now)


def know_other(duel: Duel) -> None:
    """Let the router make its record of the other back end."""
    query = RoutingQuery(service='svc', customer='c', deadline=FOR_EVER)
    duel.rig.router.choose(query, duel.plan.pools[1], 0)


def spend_budget(duel: Duel) -> None:
    while duel.rig.router.spend_hedge(HEDGED.allowance):
        """Use up all hedges."""


@pytest.mark.parametrize(
    'change',
    [
        use_extras(hedge_after=None),
        use_extras(allowance=Allowance('i', 0.1, 0)),
        forbid_repeating,
        give_key,
        leave_one_alone,
        allow_one_attempt,
        drain_other,
        fill_other,
        fail_other,
        spend_budget,
    ],
)
def test_is_not_hedged(change: Callable[[Duel], None]) -> None:
    """A non-idempotent request runs twice, or hedges overload the fleet.

    Sequence: the first attempt is slow, and the request may not be repeated,
    or its intent does not say so, or there is no budget, or the only other
    back end drains, is full or was ejected.
    Cause: a hedge is sent whatever the request and the fleet.
    """

    async def play(duel: Duel) -> None:
        duel.slow.backend.gap = 3 * AFTER
        change(duel)
        assert await duel.dispatch() == Answered()
        duel.check_whole()
        assert duel.call.attempted_backends == [SLOW]
        assert duel.rig.count_runs(duel.tag) == 1
        assert duel.count_hedges() == 0

    run_duel(play)


def test_nothing_is_hedged_while_others_wait_for_capacity() -> None:
    """Hedges take the capacity for which other requests wait.

    Sequence: a request joins the queue while a slow one runs.
    Cause: the hedge does not look at the queue.
    """

    async def play(duel: Duel) -> None:
        duel.plan = duel.plan._replace(retry_policy=HEDGED._replace(hedge_after=0.1))
        task = await curio.spawn(duel.dispatch)
        while not duel.rig.router.sent:
            await curio.sleep(0)
        call = make_call(b'', idempotent=True)
        room = duel.rig.room
        waiter = await curio.spawn(
            room.wait, call, duel.plan, partial(NotRun, Cause.overloaded, 1)
        )
        assert await task.join() == Answered()
        assert duel.call.attempted_backends == [SLOW]
        await waiter.cancel()

    run_duel(play)


def test_nothing_is_hedged_past_the_deadline() -> None:
    async def play(duel: Duel) -> None:
        duel.call = make_call(duel.tag, idempotent=True, seconds=AFTER / 2)
        assert isinstance(await duel.dispatch(), Unknown | NotRun)
        # On a busy machine the first attempt may not connect in time, and a
        # retry, which is no hedge, may still go to the other one.
        kinds = [kind for _, kind in duel.rig.router.sent]
        assert kinds
        assert Attempt.hedge not in kinds

    run_duel(play)


def test_a_refused_hedge_leaves_the_request_unknown() -> None:
    """A caller is told "not run" for a request that ran.

    Sequence: the first attempt's back end dies over the request; the second
    one's refuses it.
    Cause: the last outcome is taken for that of the request.
    """

    async def play(duel: Duel) -> None:
        use_extras(retries=0)(duel)
        duel.slow.backend.gap = 3 * AFTER
        duel.slow.backend.die_after = 0
        duel.fast.backend.refuse = True
        assert isinstance(await duel.dispatch(), Unknown)
        assert duel.call.attempted_backends == [SLOW, FAST]
        assert duel.rig.count_runs(duel.tag) == 1

    run_duel(play)


def test_the_loser_is_cancelled_wherever_it_is() -> None:
    """A connection goes on being opened for a request that is answered.

    Sequence: the first attempt's agent does not greet; the second answers.
    Cause: the loser looks for the caller only while it reads an answer.
    """

    async def play(duel: Duel) -> None:
        assert await duel.dispatch() == Answered()
        assert (SLOW, RoutingOutcome.outrun) in duel.rig.router.finished
        await curio.sleep(SOON)
        assert not duel.slow.count_connections()

    run_duel(play, Fault(Step.greeting, Kind.lose))


@pytest.mark.parametrize('retries', [0, 2])
def test_attempts_stay_within_the_entrys_bound(retries: int) -> None:
    """A request costs more attempts than the operator allows.

    Sequence: both back ends lose the request while it is hedged.
    Cause: the hedge is not counted.
    """

    async def play(duel: Duel) -> None:
        use_extras(retries=retries)(duel)
        for agent in duel.rig.agents:
            agent.backend.gap = 2 * AFTER
            agent.backend.die_after = 0
        assert isinstance(await duel.dispatch(), Unknown)
        assert not duel.sink.status
        assert duel.call.attempted_backends == [SLOW, FAST]
        assert duel.rig.router.sent == list(BOTH)

    run_duel(play)


@pytest.mark.parametrize('step', [Step.start, Step.opened, Step.head])
def test_a_lost_first_attempt_costs_no_answer(step: Step) -> None:
    """A hedged request fails although the second attempt could answer.

    Sequence: the first attempt's agent is killed; the second one is slow.
    Cause: the end of the first attempt is taken for that of the request.
    """

    async def play(duel: Duel) -> None:
        duel.slow.backend.gap = 2 * AFTER
        duel.fast.backend.gap = 4 * AFTER
        assert await duel.dispatch() == Answered()
        duel.check_whole()
        assert len(duel.rig.router.finished) == len(duel.rig.router.sent)

    run_duel(play, Fault(step, Kind.kill))


async def hang_up(duel: Duel, task: curio.Task) -> None:
    duel.sink.gone = True
    assert await task.join() == Abandoned()


async def stop_entry(duel: Duel, task: curio.Task) -> None:
    await task.cancel()


@pytest.mark.parametrize('end', [hang_up, stop_entry])
def test_nothing_is_left_behind(
    end: Callable[[Duel, curio.Task], Awaitable[None]],
) -> None:
    """Engines go on, or connections and counts stay, after a request ended.

    Sequence: both attempts are under way; the caller hangs up, or the entry
    stops.
    Cause: an attempt that outlives its request.
    """

    async def play(duel: Duel) -> None:
        duel.fast.backend.gap = SLOW_GAP
        task = await curio.spawn(duel.dispatch)
        while duel.rig.count_runs(duel.tag) < 2:
            await curio.sleep(AFTER)
        await end(duel, task)
        assert not duel.sink.status
        assert sorted(duel.rig.router.finished) == [
            (SLOW, RoutingOutcome.cancelled),
            (FAST, RoutingOutcome.cancelled),
        ]
        await curio.sleep(SOON)
        for agent in duel.rig.agents:
            assert not agent.count_running()
            assert not agent.count_connections()

    run_duel(play)


def test_hedging_does_not_hide_a_straggler() -> None:
    """Requests wait for a slow back end that is never ejected.

    Sequence: hedges overtake its answers, until the budget is spent.
    Cause: the attempts that it is too slow for count as cancelled, which
    says nothing of its health.
    """
    router = make_router()
    hosts = make_hosts(3)
    router.choose(make_query(), hosts, 0)
    for _ in range(12):
        for host in hosts[1:]:
            router.record_finished(host.name, RoutingOutcome.answered, 0.1, 1)
        router.record_finished(hosts[0].name, RoutingOutcome.outrun, 0.8, 1)
    assert router.list_ejected(1) == [hosts[0]]
