"""Stateful test of the execution record with reordered and lost frames."""

from __future__ import annotations

from collections import Counter
from typing import Any

import curio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from ospreyford.agent.record import Begun, Denied, ExecutionRecord
from ospreyford.agent.settings import RecordSettings
from ospreyford.ports.fleet import LoadReport
from ospreyford.wire.frame import Fate, Refusal, Start
from tests.agent.frames import make_follow, make_start
from tests.fakes.clock import FakeClock

SETTINGS = RecordSettings(
    max_entries=4,
    retention_seconds=100,
    tombstone_seconds=40,
    linger_seconds=5,
)
LIFETIME_SECONDS = 30
NOT_RUN_REFUSALS = frozenset(
    (Refusal.voided, Refusal.expired, Refusal.record_full)
)
MOVED_REFUSALS = frozenset((Refusal.draining, Refusal.moved))


class Agent:
    """An agent whose record is lost on restart."""

    def __init__(self, clock: FakeClock, number: int) -> None:
        self.clock = clock
        self.number = number
        self.incarnation_number = 0
        self.running: list[Begun] = []
        self.restart()

    def restart(self) -> None:
        self.incarnation_number += 1
        self.running.clear()
        self.record = ExecutionRecord(SETTINGS, self.name(), self.clock)

    def name(self) -> str:
        return f'agent{self.number}-{self.incarnation_number}'


class RecordMachine(RuleBasedStateMachine):
    """Two agents, with late, duplicate and lost frames, drains and restarts.

    No key may run twice, and no attempt may run after it was denied.
    """

    keys = Bundle('keys')
    frames = Bundle('frames')

    @initialize()
    def start_agents(self) -> None:
        self.clock = FakeClock()
        self.agents = [Agent(self.clock, 0), Agent(self.clock, 1)]
        self.runs: Counter[str] = Counter()
        self.denied: set[str] = set()
        self.attempts = 0
        self.clock.advance(10)

    @rule(
        target=keys, idempotent=st.booleans(), ahead=st.sampled_from([0, 0, 5])
    )
    def make_key(self, idempotent: bool, ahead: float) -> Any:
        dated = int((self.clock.wall() + ahead) * 1000)
        return f'key-{dated}-{idempotent}', dated, idempotent

    @rule(target=frames, key=keys)
    def send(self, key: Any) -> Any:
        return self.agents[0].name(), self._make_start(key)

    @rule(key=keys)
    def send_and_deliver(self, key: Any) -> None:
        start = self._make_start(key)
        reason = self._deliver(self.agents[0], start)
        if reason in MOVED_REFUSALS and not start.idempotent:
            self._deliver(self.agents[1], start)

    @rule(frame=frames)
    def deliver_late(self, frame: Any) -> None:
        incarnation, start = frame
        agent = self.agents[0]
        if incarnation == agent.name():
            self._deliver(agent, start)

    @rule(frame=frames)
    def follow(self, frame: Any) -> None:
        incarnation, start = frame
        asked = make_follow(
            start.execution,
            start.attempt,
            dated=start.dated,
            incarnation=incarnation,
            fresh=start.idempotent,
        )
        if self.agents[0].record.follow(asked) == Denied(Refusal.voided):
            assert not self._has_run(start)
            self.denied.add(start.attempt)

    @rule(key=keys)
    def follow_unsent(self, key: Any) -> None:
        start = self._make_start(key)
        if start.idempotent:
            return
        asked = make_follow(
            start.execution,
            start.attempt,
            dated=start.dated,
            incarnation=self.agents[0].name(),
            sent=False,
        )
        if self.agents[0].record.follow(asked) == Denied(Refusal.voided):
            assert not self.runs[start.execution]

    @rule(agent=st.sampled_from([0, 1]), refused=st.booleans())
    def end(self, agent: int, refused: bool) -> None:
        if not self.agents[agent].running:
            return
        execution = self.agents[agent].running.pop().execution
        if refused:
            self.runs[execution.execution_id] -= 1
            curio.run(execution.fail(Fate.not_run, self.clock.monotonic()))
        else:
            load = LoadReport(incarnation='')
            curio.run(execution.finish(load, self.clock.monotonic()))

    @rule(agent=st.sampled_from([0, 1]))
    def restart(self, agent: int) -> None:
        self.agents[agent].restart()

    @rule(seconds=st.sampled_from([1, 3, 12, 45, 110]))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)
        for agent in self.agents:
            agent.record.table.sweep()

    @rule(draining=st.booleans())
    def drain(self, draining: bool) -> None:
        self.agents[0].record.draining = draining

    @invariant()
    def keys_run_at_most_once(self) -> None:
        for key, runs in self.runs.items():
            assert key.endswith('True') or runs <= 1, key

    def _deliver(self, agent: Agent, start: Start) -> Refusal | None:
        decision = agent.record.start(start)
        match decision:
            case Begun():
                assert start.attempt not in self.denied
                self.runs[start.execution] += 1
                agent.running.append(decision)
            case Denied(reason=reason):
                if reason in NOT_RUN_REFUSALS:
                    self.denied.add(start.attempt)
                return reason
        return None

    def _has_run(self, start: Start) -> bool:
        # Runs that failed as not run have been subtracted.
        return bool(self.runs[start.execution])

    def _make_start(self, key: Any) -> Start:
        execution_id, dated, idempotent = key
        self.attempts += 1
        attempt = f'a{self.attempts}'
        # Each attempt of an idempotent request has its own id.
        execution = f'{attempt}-True' if idempotent else execution_id
        now = self.clock.wall()
        return make_start(
            execution,
            attempt,
            dated=int(now * 1000) if idempotent else dated,
            expires=int((now + LIFETIME_SECONDS) * 1000),
            idempotent=idempotent,
            fresh=idempotent,
        )


TestRecordMachine = RecordMachine.TestCase
TestRecordMachine.settings = settings(
    max_examples=300,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
)
