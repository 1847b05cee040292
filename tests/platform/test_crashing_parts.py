"""Entries while one part of a prompt crashes each replica that begins it."""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass, field
from typing import NamedTuple

import curio
import pytest

from ospreyford.platform.standins.rankgroup import GroupOptions
from ospreyford.platform.standins.replicas import ReplicaOptions
from tests.platform.fleet import (
    GROUP_SERVICE,
    NO_ANSWER,
    STABLE_SECONDS,
    STREAM_PATH,
    Fleet,
    Reply,
)

#: The platform's bounds on requests with the part, after the fifth crash.
COUNTED_CRASHES = 5
MAX_LATE_REQUESTS = 3
#: The platform's bound on sound requests, from so long after the last crash.
SOUND_AFTER_SECONDS = 2 * STABLE_SECONDS
MIN_SOUND_FRACTION = 0.5
MIN_SOUND_REQUESTS = 20
ENTRIES = 4
BEFORE_SECONDS = 1.0
RESTART_INTERVAL_SECONDS = 1.5
LOAD_SECONDS = 13.0
MAX_LOAD_SECONDS = 26.0
CRASHER_INTERVAL_SECONDS = 0.25
SOUND_INTERVAL_SECONDS = 0.12
CALLER_SECONDS = 2.5
OK = 200
BLOCKED = 502

PART = b'bad0'
RARE = b'4a4e'
COMMON = b'c0'
GROUP = GroupOptions(ranks=6, stall_seconds=0.3, form_seconds=0.2)


class Case(NamedTuple):
    """How requests with the part look.

    :param prompt: their shared parts, in order.
    :param crash_events: events before the crash; ``None`` for no answer.
    :param has_restarts: whether entries are restarted meanwhile.
    """

    prompt: tuple[bytes, ...]
    crash_events: int | None = None
    has_restarts: bool = False


CASES = (
    Case((PART, COMMON)),
    Case((PART, RARE), crash_events=1),
    Case((COMMON, PART)),
    Case((COMMON, PART, RARE), crash_events=0),
    Case((COMMON, RARE, PART), crash_events=2),
    Case((COMMON, PART), has_restarts=True),
)
#: Shared parts of sound requests, in turn.
SOUND = ((COMMON,), (COMMON, RARE), (COMMON,))


@dataclass
class Day:
    """What callers got while requests with the part came.

    :param fleet: the fleet.
    :param sound: when sound requests were sent, and their replies.
    :param crashing: the same of requests with the part.
    """

    fleet: Fleet
    sound: list[tuple[float, Reply]] = field(default_factory=list)
    crashing: list[tuple[float, Reply]] = field(default_factory=list)

    def find_settled_at(self) -> float | None:
        """Find from when on sound requests must be served."""
        crashes = self.fleet.arrivals.crashes[:COUNTED_CRASHES]
        return crashes[-1].at + SOUND_AFTER_SECONDS if crashes else None

    def list_settled(self) -> list[Reply]:
        """List the replies to sound requests from then on."""
        since = self.find_settled_at()
        return [
            reply
            for at, reply in self.sound
            if since is not None and at > since
        ]

    def count_late(self) -> int:
        """Count arrivals with the part that came too late."""
        arrivals = self.fleet.arrivals
        if len(arrivals.crashes) < COUNTED_CRASHES:
            return 0
        since = arrivals.crashes[COUNTED_CRASHES - 1].at + STABLE_SECONDS
        return sum(
            PART in one.parts and one.at > since for one in arrivals.requests
        )


async def ask(
    day: Day, number: int, shared: tuple[bytes, ...], is_sound: bool
) -> None:
    # The last part is the request's own.
    parts = [*shared, b'%x' % (number + (1 << 16))]
    kind = 'sound' if is_sound else 'crashing'
    entry = day.fleet.entries[number % len(day.fleet.entries)]
    started_at = time.time()
    reply = Reply(NO_ANSWER)
    async with curio.ignore_after(CALLER_SECONDS):
        reply = await entry.ask(
            b'own %d' % number,
            f'{kind}-{number}',
            path=STREAM_PATH,
            prompt=b','.join(b'%s:40' % part for part in parts),
        )
    replies = day.sound if is_sound else day.crashing
    replies.append((started_at, reply))


async def ask_sound(day: Day) -> None:
    for number in itertools.count():
        shared = SOUND[number % len(SOUND)]
        await curio.spawn(ask, day, number, shared, True, daemon=True)
        await curio.sleep(SOUND_INTERVAL_SECONDS)


async def ask_crashing(day: Day, case: Case) -> None:
    for number in itertools.count(1 << 16):
        await curio.spawn(ask, day, number, case.prompt, False, daemon=True)
        await curio.sleep(CRASHER_INTERVAL_SECONDS)


async def restart_entries(fleet: Fleet) -> None:
    for number in range(ENTRIES - 1):
        await curio.sleep(RESTART_INTERVAL_SECONDS)
        await fleet.restart_entry(number)


async def play(case: Case) -> Day:
    """Play a day with sound requests and such with the part."""
    options = ReplicaOptions(
        GROUP_SERVICE,
        back_seconds=0.6,
        crash_part=PART,
        crash_events=case.crash_events,
    )
    day = Day(Fleet())
    await day.fleet.start_group(ENTRIES, GROUP, options)
    sound = await curio.spawn(ask_sound, day, daemon=True)
    await curio.sleep(BEFORE_SECONDS)
    began = time.monotonic()
    crashing = await curio.spawn(ask_crashing, day, case, daemon=True)
    if case.has_restarts:
        await curio.spawn(restart_entries, day.fleet, daemon=True)
    await curio.sleep(LOAD_SECONDS)
    while (
        len(day.list_settled()) < MIN_SOUND_REQUESTS
        and time.monotonic() < began + MAX_LOAD_SECONDS
    ):
        await curio.sleep(SOUND_INTERVAL_SECONDS)
    await crashing.cancel()
    await sound.cancel()
    await curio.sleep(CALLER_SECONDS)
    return day


@pytest.mark.parametrize('case', CASES)
def test_a_crashing_part_is_blocked(case: Case) -> None:
    """Requests that share one part must not crash replica after replica."""
    day = curio.run(play, case)
    assert day.fleet.arrivals.crashes
    assert day.count_late() <= MAX_LATE_REQUESTS
    # Sound requests with the same caller and other parts are served.
    settled = day.list_settled()
    served = sum(reply.status == OK for reply in settled)
    assert len(settled) >= MIN_SOUND_REQUESTS
    assert served >= MIN_SOUND_FRACTION * len(settled)
    # Those with the part are told at once, and not invited to come back.
    last = [reply for _, reply in day.crashing[-COUNTED_CRASHES:]]
    assert {(one.status, one.retry_after) for one in last} == {(BLOCKED, None)}
