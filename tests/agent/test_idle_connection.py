"""A connection at rest stays usable.

Symptom: a request on a system without any fault is told "not run (voided)".
Sequence: a request is answered; its connection goes back to the entry's pool
and rests for longer than the agent waits for a busy entry's heartbeat; the
next request is sent on it.
Cause: the agent went on waiting as for a busy entry and closed the connection.
"""

from __future__ import annotations

import curio
import pytest

from ospreyford.entry.call import Call
from ospreyford.entry.outcome import Answered, Outcome
from ospreyford.wire.identity import make_id
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
    return make_call(make_id().encode(), idempotent=False, key=make_id())


def test_idle_connection_is_kept() -> None:
    # Only a fresh connection is greeted.
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
    # Symptom: the first request after a connection at rest fell silent is
    # told "not run", though its back end lives. Sequence: it is sent on that
    # connection; a fresh one says that it did not arrive, and voids it.
    # Cause: nobody sent it again there under another attempt.
    lost = Fault(Step.start, kind)
    assert curio.run(send_twice, 0, [lost]) == (Answered(), 1)
    assert lost.done


async def send_after_replacement() -> tuple[Outcome, int]:
    async with Rig([]) as rig:
        entry = rig.make_entry()
        await send(rig, entry, make_keyed_call())
        await rig.agents[0].die(replaced=True)
        # Keys dated before the new life are refused.
        await curio.sleep(2 * RECORD.skew_seconds)
        call = make_keyed_call()
        outcome, _ = await send(rig, entry, call)
        return outcome, rig.count_runs(call.body)


def test_connection_to_an_earlier_incarnation_is_not_used() -> None:
    # Symptom: after an agent was replaced, each entry's next requests to it
    # are of unknown outcome, one for each connection at rest. Sequence: the
    # agent ends, and with it its connections; a request is sent on one of
    # them; the fresh connection is greeted by another incarnation. Cause:
    # that the connection had ended could be seen before anything was sent.
    assert curio.run(send_after_replacement) == (Answered(), 1)
