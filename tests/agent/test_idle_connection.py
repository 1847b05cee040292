"""Tests of pooled connections that are idle between requests.

The agent must not apply the heartbeat timeout to an idle connection.
"""

from __future__ import annotations

import curio
import pytest

from ospreyford.entry.call import Call
from ospreyford.entry.outcome import Answered, Outcome
from ospreyford.wire.ids import create_id
from tests.faults.network import Fault, Kind, Step
from tests.faults.rig import AGENT_TIMES, RECORD, Rig, make_call, send

IDLE_SECONDS = 2 * AGENT_TIMES.silence_seconds


async def send_twice(
    idle_seconds: float, faults: list[Fault]
) -> tuple[Outcome, int]:
    async with Rig([]) as rig:
        entry = rig.make_entry()
        await send(rig, entry, make_keyed_call())
        await curio.sleep(idle_seconds)
        rig.agents[0].network.faults = faults
        call = make_keyed_call()
        outcome, _ = await send(rig, entry, call)
        return outcome, rig.count_runs(call.body)


def make_keyed_call() -> Call:
    return make_call(create_id().encode(), idempotent=False, key=create_id())


def test_idle_connection_is_kept() -> None:
    # The agent sends a greeting on new connections only.
    greeted = Fault(Step.greeting, Kind.duplicate)
    outcome = curio.run(send_twice, IDLE_SECONDS, [greeted])
    assert outcome == (Answered(), 1)
    assert not greeted.done


@pytest.mark.parametrize(
    'kind', [Kind.lose, Kind.silence, Kind.sever, Kind.one_way]
)
def test_request_lost_with_an_idle_connection_is_sent_again(
    kind: Kind,
) -> None:
    # Guards against "not run" for a request that was lost with an idle
    # connection while its backend server is live.
    lost = Fault(Step.start, kind)
    assert curio.run(send_twice, 0, [lost]) == (Answered(), 1)
    assert lost.done


async def send_after_replacement() -> tuple[Outcome, int]:
    async with Rig([]) as rig:
        entry = rig.make_entry()
        await send(rig, entry, make_keyed_call())
        await rig.agents[0].die(replaced=True)
        # Keys dated before the new incarnation are refused.
        await curio.sleep(2 * RECORD.skew_seconds)
        call = make_keyed_call()
        outcome, _ = await send(rig, entry, call)
        return outcome, rig.count_runs(call.body)


def test_connection_to_an_earlier_incarnation_is_not_used() -> None:
    # Guards against unknown outcomes of requests sent on pooled connections
    # that were closed when the agent was replaced.
    assert curio.run(send_after_replacement) == (Answered(), 1)
