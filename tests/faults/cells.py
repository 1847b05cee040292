"""One cell of the fault matrix: a request, its faults and the referee."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from itertools import product
from typing import NamedTuple

import curio

from ospreyford.entry.call import RetryPolicy
from ospreyford.entry.dispatcher import Dispatcher
from ospreyford.entry.outcome import Answered, Cut, NotRun, Outcome, Unknown
from ospreyford.wire.ids import create_id
from tests.faults.backend import expected_body
from tests.faults.network import Fault, Kind, Step
from tests.faults.rig import (
    NO_EXTRAS,
    CollectingSink,
    Rig,
    make_call,
    send,
)

SETTLE_SECONDS = 0.5
RETRIES = 2
#: Both attempts are under way before either is answered.
HEDGED = RetryPolicy(hedge_after=0.002)
BYSTANDERS = 2
STEPS = (
    Step.greeting,
    Step.start,
    Step.opened,
    Step.head,
    Step.piece,
    Step.end,
    Step.follow,
    Step.refused,
    Step.beat,
    Step.cancel,
)


class Mode(StrEnum):
    """What kind of request it is."""

    idempotent = 'idempotent'
    keyed = 'keyed'
    unkeyed = 'unkeyed'
    hedged = 'hedged'


class Cell(NamedTuple):
    """A request of one kind with the faults that hit it."""

    mode: Mode
    faults: tuple[tuple[Step, Kind], ...]


@dataclass
class Verdict:
    """What came of a cell; ``broken`` names the promises it broke."""

    cell: Cell
    outcome: str
    broken: list[str]


#: An entry names its own request; only what an agent sends can be crossed.
SENT_BY_ENTRY = frozenset((Step.start, Step.follow, Step.cancel))
FAULTS = tuple(
    (step, kind)
    for step in STEPS
    for kind in Kind
    if kind is not Kind.cross or step not in SENT_BY_ENTRY
)


def list_faults(mode: Mode) -> list[tuple[Step, Kind]]:
    """The faults that a request of one kind can meet."""
    # Only the attempt that loses is cancelled.
    return [
        fault
        for fault in FAULTS
        if fault[0] is not Step.cancel or mode is Mode.hedged
    ]


def list_single_cells() -> list[Cell]:
    """Every fault at every step, alone."""
    return [
        Cell(mode, (fault,)) for mode in Mode for fault in list_faults(mode)
    ]


def list_pair_cells() -> list[Cell]:
    """Every two faults, the second at the same step or at a later one."""
    return [
        Cell(mode, (first, second))
        for mode in Mode
        for first, second in product(list_faults(mode), repeat=2)
        if STEPS.index(first[0]) <= STEPS.index(second[0])
    ]


async def run_cell(cell: Cell) -> Verdict:
    """Send a request into the faults, then retry it, and judge by journal."""
    faults = [Fault(step, kind) for step, kind in cell.faults]
    # A fault at a question needs something to ask about.
    if cell.faults[0][0] in {Step.follow, Step.refused}:
        faults.insert(0, Fault(Step.opened, Kind.sever))
    tag = create_id().encode()
    async with Rig(faults, faults) as rig:
        key = create_id() if cell.mode is Mode.keyed else ''
        idempotent = cell.mode in {Mode.idempotent, Mode.hedged}
        call = make_call(tag, idempotent=idempotent, key=key)
        extras = HEDGED if cell.mode is Mode.hedged else NO_EXTRAS
        entry = rig.make_entry(1)
        outcome, sink = await send(rig, entry, call, extras)
        broken = judge_counts(rig)
        # The next caller of the same entry must not meet what is left of it.
        broken += await send_bystander(rig, entry)
        await curio.sleep(SETTLE_SECONDS)
        broken += judge_first(rig, tag, outcome, sink)
        if cell.mode is Mode.keyed:
            broken += await retry(rig, tag, key)
        runs = rig.count_runs(tag)
        if not idempotent and runs > 1:
            broken.append(f'ran {runs} times')
    return Verdict(cell, describe(outcome), broken)


async def send_bystander(rig: Rig, entry: Dispatcher) -> list[str]:
    """Send another request through the same entry."""
    broken = []
    for _ in range(BYSTANDERS):
        tag = create_id().encode()
        call = make_call(tag, idempotent=True)
        outcome, sink = await send(rig, entry, call)
        broken += [
            f'bystander: {each}'
            for each in judge_first(rig, tag, outcome, sink)
        ]
    return broken


def judge_first(
    rig: Rig, tag: bytes, outcome: Outcome, sink: CollectingSink
) -> list[str]:
    """Judge what the first sending's caller was told."""
    broken = []
    runs = rig.count_runs(tag)
    expected = expected_body(tag)
    match outcome:
        case Answered():
            if not sink.whole or sink.body != expected:
                broken.append('answer not whole')
        case NotRun():
            if runs:
                broken.append(f'told not run, ran {runs}')
            if sink.status:
                broken.append('not run, yet answered in part')
        case Unknown():
            if sink.status:
                broken.append('unknown, yet answered in part')
        case Cut():
            if sink.whole or not expected.startswith(sink.body):
                broken.append('cut answer is not a beginning')
    return broken


def judge_counts(rig: Rig) -> list[str]:
    """Judge whether every attempt that began was told to have ended."""
    sent = sorted(name for name, _ in rig.router.sent)
    ended = sorted(name for name, _ in rig.router.finished)
    return [] if sent == ended else [f'sent {sent}, ended {ended}']


async def retry(rig: Rig, tag: bytes, key: str) -> list[str]:
    """Come again with the key through entries that share nothing."""
    broken = []
    for number in range(RETRIES):
        call = make_call(tag, idempotent=False, key=key)
        outcome, sink = await send(rig, rig.make_entry(number + 2), call)
        broken += [
            f'retry: {each}' for each in judge_first(rig, tag, outcome, sink)
        ]
    return broken


def describe(outcome: Outcome) -> str:
    """Name an outcome for the table."""
    match outcome:
        case Answered():
            return 'answered'
        case NotRun(cause=cause):
            return f'not run ({cause})'
        case Unknown(cause=cause):
            return f'unknown ({cause})'
        case Cut(cause=cause):
            return f'cut ({cause})'
        case _:
            return 'abandoned'


async def run_cells(cells: Sequence[Cell], at_once: int) -> list[Verdict]:
    """Run cells side by side in one kernel."""
    queue = list(reversed(cells))
    verdicts: list[Verdict] = []

    async def work() -> None:
        while queue:
            verdicts.append(await run_cell(queue.pop()))

    group = curio.TaskGroup()
    async with group:
        for _ in range(at_once):
            await group.spawn(work)
    # A task group swallows the error of a task that nobody joins: a cell that
    # could not be run would be missing from the matrix, and not counted.
    for error in group.exceptions:
        if error is not None:
            raise error
    order = {cell: number for number, cell in enumerate(cells)}
    return sorted(verdicts, key=lambda verdict: order[verdict.cell])
