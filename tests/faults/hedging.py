"""Prints what hedging gains and costs: ``python -m tests.faults.hedging``.

The entry and the agents are the real code, the back ends in memory answer
five pieces 2 ms apart. Some of them stall before an answer begins. Times are
measured, so that they differ a little between runs.
"""

from __future__ import annotations

import logging
import time
from random import Random
from typing import Any, NamedTuple

import curio
from hdrh.histogram import HdrHistogram
from tabulate import tabulate

from ospreyford.entry.call import Plan, RetryPolicy
from ospreyford.entry.dispatcher import Dispatcher
from ospreyford.entry.outcome import Answered
from ospreyford.http.message import Headers
from ospreyford.routing.budget import Allowance
from ospreyford.wire.ids import create_id
from tests.faults.backend import FakeBackend, FakeCall
from tests.faults.rig import CollectingSink, Rig, make_call

AGENTS = 6
REQUESTS = 1200
AT_ONCE = 8
GAP_SECONDS = 0.002
STALL_SECONDS = 0.4
AFTER_SECONDS = 0.02
SEED = 7
MILLISECONDS = 1000
MICROSECONDS = 1_000_000
LONGEST = 60 * MICROSECONDS
ALLOWANCE = Allowance('measured', 0.1, 0.02)


class Case(NamedTuple):
    """Part of the answers that stall, at so many of the back ends."""

    part: float
    stalling: int
    hedged: bool


class StallingBackend(FakeBackend):
    """Stalls before a part of its answers."""

    part: float = 0
    rng = Random(SEED)

    async def open(self, *, reuse: bool) -> FakeCall:
        if self.rng.random() < self.part:
            await curio.sleep(STALL_SECONDS)
        return await super().open(reuse=reuse)


class TimingSink(CollectingSink):
    """Notes when the answer began."""

    began: float = 0

    async def begin(self, status: int, headers: Headers) -> None:
        self.began = time.monotonic()
        await super().begin(status, headers)


class Run:
    """Sends requests through one entry and counts."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.first = HdrHistogram(1, LONGEST, 3)
        self.answered = 0
        self.left = REQUESTS

    async def play(self) -> list[Any]:
        """Play the case; tell the row of the table."""
        rig = Rig(*([] for _ in range(AGENTS)))
        self._prepare(rig)
        async with rig:
            after = AFTER_SECONDS if self.case.hedged else None
            extras = RetryPolicy(hedge_after=after, allowance=ALLOWANCE)
            plan = rig.plan._replace(retry_policy=extras)
            entry = rig.make_entry(SEED)
            async with curio.TaskGroup() as group:
                for _ in range(AT_ONCE):
                    await group.spawn(self._work, entry, plan)
            return self._sum_up(rig)

    def _prepare(self, rig: Rig) -> None:
        for number, agent in enumerate(rig.agents):
            backend = StallingBackend(gap=GAP_SECONDS)
            backend.rng = Random(f'{SEED}/{number}')
            if number < self.case.stalling:
                backend.part = self.case.part
            agent.backend = backend

    async def _work(self, entry: Dispatcher, plan: Plan) -> None:
        while self.left:
            self.left -= 1
            call = make_call(create_id().encode(), idempotent=True)
            sink = TimingSink()
            began = time.monotonic()
            outcome = await entry.dispatch(call, plan, sink)
            if isinstance(outcome, Answered):
                self.answered += 1
                passed = sink.began - began
                self.first.record_value(int(passed * MICROSECONDS))

    def _sum_up(self, rig: Rig) -> list[Any]:
        runs = sum(agent.backend.journal.total() for agent in rig.agents)
        quantiles = [
            self.first.get_value_at_percentile(percent) / MILLISECONDS
            for percent in (50, 95, 99)
        ]
        sent = len(rig.router.sent) - REQUESTS
        return [
            f'{self.case.part:.0%} at {self.case.stalling} of {AGENTS}',
            'yes' if self.case.hedged else 'no',
            *quantiles,
            self.answered / REQUESTS,
            sent,
            runs / REQUESTS,
        ]


def main() -> None:
    """Play every case and print the table."""
    logging.disable(logging.WARNING)
    rows = [
        curio.run(Run(Case(part, stalling, hedged)).play)
        for part, stalling in ((0, 0), (0.01, 6), (0.05, 6), (1, 1))
        for hedged in (False, True)
    ]
    headers = (
        'answers that stall',
        'hedged',
        'first p50 ms',
        'p95 ms',
        'p99 ms',
        'answered',
        'second attempts',
        'runs per request',
    )
    print(tabulate(rows, headers=headers, tablefmt='github', floatfmt='.3f'))


if __name__ == '__main__':
    main()
