"""Sequences that a single fault at one frame does not reach."""

from __future__ import annotations

import curio

from ospreyford.entry.outcome import Answered, Outcome, Unknown
from ospreyford.wire.ids import create_id
from tests.faults.backend import expected_body
from tests.faults.network import Fault, Kind, Step
from tests.faults.rig import Rig, make_call, send


def test_doubt_outlives_a_later_proof() -> None:
    """One sending of unknown fate makes the whole unknown.

    Symptom: "not run" for an idempotent request that ran.
    Sequence: the first sending reaches an agent that is killed while it
    runs; the second one's back end refuses the connection, which proves that
    this sending did not run.
    Cause: the last proof taken for the whole request.
    """

    async def main() -> tuple[Outcome, int]:
        dies = [Fault(Step.opened, Kind.kill)]
        async with Rig(dies, dies) as rig:
            for agent in rig.agents:
                agent.backend.gap = 0.2
            tag = create_id().encode()
            first = await curio.spawn(
                send, rig, rig.make_entry(), make_call(tag, idempotent=True)
            )
            while not rig.count_runs(tag):
                await curio.sleep(0.01)
            for other in rig.agents:
                other.backend.refuse = True
            outcome, _ = await first.join()
            return outcome, rig.count_runs(tag)

    outcome, runs = curio.run(main)
    assert runs == 1
    assert isinstance(outcome, Unknown)


def test_slow_answer_keeps_its_connection() -> None:
    """A back end that takes its time is not a silent connection.

    Symptom: a fresh connection and a question for every pause in an answer.
    Sequence: the back end pauses for longer than the silence limit.
    Cause: an agent that sends no heartbeats while it waits.
    """

    async def main() -> tuple[Outcome, bytes, int]:
        async with Rig([]) as rig:
            rig.agents[0].backend.gap = 0.35
            tag = create_id().encode()
            call = make_call(tag, idempotent=True, seconds=20)
            outcome, sink = await send(rig, rig.make_entry(), call)
            assert sink.body == expected_body(tag)
            return outcome, sink.body, rig.agents[0].network.accepted

    outcome, _, connections = curio.run(main)
    assert isinstance(outcome, Answered)
    assert connections == 1
