"""Entries while a request crashes each replica that begins to run it."""

from __future__ import annotations

import math
import time
from typing import NamedTuple

import curio
import pytest

from ospreyford.direct import suspectdecisions
from ospreyford.direct.crashdecisions import RequestBlocked
from ospreyford.platform.standins.replicas import ReplicaOptions
from ospreyford.suspects.decisions import Decision
from tests.platform.fleet import SERVICE, STABLE_SECONDS, Fleet, Reply

CRASHER = b'crash every replica'
OPTIONS = ReplicaOptions(SERVICE, back_seconds=1.0)
#: Crashes after which the request is blocked, and those that may follow until
#: all entries know.
MAX_CRASHES = 3
MAX_EXTRA = 1


class Day(NamedTuple):
    """What a repeated crasher did.

    :param fleet: the fleet afterwards.
    :param replies: time of each reply, and the reply.
    """

    fleet: Fleet
    replies: list[tuple[float, Reply]]


async def repeat_a_crasher(entries: int, route_type: str) -> Day:
    fleet = Fleet(route_type)
    await fleet.start(entries, 4, OPTIONS)
    replies = await fleet.ask_in_turn(CRASHER, 24, 0.3)
    return Day(fleet, replies)


@pytest.mark.parametrize('route_type', ['idempotent', 'non_idempotent'])
@pytest.mark.parametrize('entries', [1, 4])
def test_a_repeated_crasher_is_blocked(entries: int, route_type: str) -> None:
    """One request must not crash the replicas of a service over and over."""
    fleet, replies = curio.run(repeat_a_crasher, entries, route_type)
    crashes = fleet.arrivals.crashes
    assert MAX_CRASHES <= len(crashes) <= MAX_CRASHES + MAX_EXTRA
    third = crashes[MAX_CRASHES - 1].at
    assert all(one.at <= third + STABLE_SECONDS for one in crashes)
    last = replies[-1][1]
    assert last.status == 502
    assert b'crashes the back ends' in last.body
    assert last.retry_after is None
    for entry in fleet.entries:
        assert entry.log.find(RequestBlocked)


def test_the_bound_is_exceeded_without_the_decision(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the check above would notice an unbounded crasher."""
    monkeypatch.setattr(suspectdecisions, 'decide', lambda *_: Decision.send)
    fleet, _ = curio.run(repeat_a_crasher, 4, 'idempotent')
    assert len(fleet.arrivals.crashes) > MAX_CRASHES + MAX_EXTRA


async def start_an_entry_late() -> Reply:
    fleet = Fleet()
    await fleet.start(2, 4, OPTIONS)
    await fleet.ask_in_turn(CRASHER, 12, 0.3)
    known = len(fleet.arrivals.crashes)
    entry = await fleet.add_entry()
    await curio.sleep(1.2)
    reply = await entry.ask(CRASHER, 'late')
    assert len(fleet.arrivals.crashes) == known
    return reply


def test_entry_that_starts_learns_of_blocked_requests() -> None:
    """A restarted entry must not let a blocked request through."""
    assert curio.run(start_an_entry_late).status == 502


async def serve_beside_a_crasher() -> tuple[Fleet, list[Reply]]:
    fleet = Fleet()
    await fleet.start(2, 4, OPTIONS)
    for entry in fleet.entries:
        # Entries that started recently have few retries.
        entry.context.budget.started_at = -math.inf
    crashing = await curio.spawn(fleet.ask_in_turn, CRASHER, 12, 0.3)
    replies = []
    until = time.monotonic() + 5
    number = 0
    while time.monotonic() < until:
        entry = fleet.entries[number % 2]
        # A body with much of the traffic, and bodies of their own.
        body = b'much repeated' if number % 2 else b'own %d' % number
        replies.append(await entry.ask(body, f'innocent-{number}'))
        number += 1
        await curio.sleep(0.02)
    await crashing.join()
    return fleet, replies


def test_requests_beside_a_crasher_are_served() -> None:
    """Requests that ran beside the crashes must not be blocked."""
    fleet, replies = curio.run(serve_beside_a_crasher)
    assert len(fleet.arrivals.crashes) <= MAX_CRASHES + MAX_EXTRA
    assert {one.status for one in replies} == {200}
    for entry in fleet.entries:
        blocked = entry.log.find(RequestBlocked)
        assert {line.path for line in blocked} <= {'/a/b/x'}
        assert len({line.identity for line in blocked}) <= 1
