"""One round: a wave of requests of each kind, a fault, retries, the referee."""

from __future__ import annotations

import time
from collections import Counter
from concurrent.futures import Future
from typing import NamedTuple

from tests.processes.callers import (
    Ask,
    Kind,
    Told,
    make_ask,
    make_ask_for,
)
from tests.processes.deployment import (
    ENGINE,
    ENTRIES,
    HOMES,
    VICTIM,
    Deployment,
)
from tests.processes.faults import Fault
from tests.processes.referee import Referee

#: A run is journalled at once and its answer comes so much later: a fault in
#: between meets a request that ran and was not answered.
ANSWER_SECONDS = 1.0
UNDER_WAY_SECONDS = 0.4
RETRY_SECONDS = 0.2
EACH = 3
#: Kinds whose back end the caller cannot choose.
UNPLACED = (Kind.unkeyed, Kind.rate, Kind.stream)


class Verdict(NamedTuple):
    """What came of the requests of one kind in one round."""

    fault: str
    kind: Kind
    outcomes: Counter[str]
    broken: list[str]


def run_round(rig: Deployment, fault: Fault) -> list[Verdict]:
    """Run a round and judge it; the deployment is whole again after it."""
    rig.problems.clear()
    told = _warm_up(rig)
    for name in HOMES:
        rig.control_backend(name, {'fault': _slow()})
    if fault.early:
        fault.strike(rig)
    wave = _send_wave(rig)
    time.sleep(UNDER_WAY_SECONDS)
    if not fault.early:
        fault.strike(rig)
    time.sleep(RETRY_SECONDS)
    keyed = [ask for ask in wave if ask.key]
    pending = [*wave.values(), *_send_all(rig, keyed, ENTRIES[2])]
    time.sleep(fault.hold)
    fault.heal(rig)
    first = [each.result() for each in wave.values()]
    told += first + [each.result() for each in pending[len(wave) :]]
    _restore(rig)
    told += [each.result() for each in _send_all(rig, keyed, ENTRIES[1])]
    # Without a key there is no saying which back end takes a request, and one
    # kill may honestly leave all of them unknown; whole again, one is answered.
    told.append(rig.wait_until_answered_by(ENTRIES[1], Kind.unkeyed))
    return _judge(rig, fault, first, told)


def _warm_up(rig: Deployment) -> list[Told]:
    # Idle connections to every agent, so that a silent one may be chosen.
    sent = [
        rig.crowd.send(make_ask(kind, tokens=1), entry)
        for kind in (Kind.rate, Kind.rate, Kind.rate, Kind.stream, Kind.stream)
        for entry in ENTRIES
    ]
    return [each.result() for each in sent]


def _send_wave(rig: Deployment) -> dict[Ask, Future[Told]]:
    # A key of each home: random ones may all have the victim for their home.
    asks = [make_ask_for(home, HOMES) for home in HOMES]
    asks += [make_ask(kind) for kind in UNPLACED for _ in range(EACH)]
    asks += [make_ask_for(VICTIM, HOMES) for _ in range(EACH)]
    return {
        ask: rig.crowd.send(ask, entry)
        for number, ask in enumerate(asks)
        for entry in ENTRIES[number % 2 : number % 2 + 1]
    }


def _send_all(
    rig: Deployment, asks: list[Ask], entry: str
) -> list[Future[Told]]:
    return [rig.crowd.send(ask, entry) for ask in asks]


def _restore(rig: Deployment) -> None:
    for name in HOMES:
        rig.control_backend(name, {'fault': None})
    rig.wait_until_answered_by(ENTRIES[0])
    rig.wait_until_served_by(VICTIM)
    rig.wait_until_served_by(ENGINE)
    rig.wait_until_keys_run_at(VICTIM)


def _judge(
    rig: Deployment, fault: Fault, first: list[Told], told: list[Told]
) -> list[Verdict]:
    referee = Referee(told, rig.read_journal())
    broken = referee.find_broken()
    if fault.planned:
        for each in first:
            if each.outcome != 'answered':
                broken[each.ask.kind].append(f'planned, yet {each}')
    broken[Kind.keyed] += rig.problems
    return [
        Verdict(fault.name, kind, referee.count_outcomes(kind), broken[kind])
        for kind in Kind
    ]


def _slow() -> dict[str, object]:
    return {'type': 'delay', 'seconds': ANSWER_SECONDS}
