"""Two groups of unequal size, one of which breaks and comes back."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from random import Random
from types import MappingProxyType

import curio
import pytest

from ospreyford.direct.admission import (
    FIRST_EVENT_PASSES,
    URGENT_PASS_FRACTION,
    GroupLoad,
)
from ospreyford.direct.call import Call
from ospreyford.direct.gate import StreamGate
from ospreyford.direct.grouproom import GroupBackends, GroupRoom
from tests.direct.test_gate import MAX_GAP, ROUTE, make_call

TICK = 0.02
SECONDS = 20.0
BROKEN_SECONDS = (8.0, 10.0)
#: Time after the return in which the group must not be crowded.
RETURN_SECONDS = 1.0
BASE = 0.018
PASSES = 22
#: Additional pass time per stream of the groups, in seconds: the smaller one
#: has half the ranks.
COSTS = MappingProxyType({'big': 0.0012, 'small': 0.0024})
SLOTS = MappingProxyType({'big': 40, 'small': 20})
#: Streams per second: 1.2 times what both groups run within their limits.
REGULAR_PASS = 0.47 * MAX_GAP
ROOM = sum((REGULAR_PASS - BASE) / cost for cost in COSTS.values())
ARRIVALS = 1.2 * ROOM / (PASSES * REGULAR_PASS)
REPORT_TICKS = 5
#: The stated aim for first events.
MIN_ON_TIME = 0.95


@dataclass
class Group:
    """A group's ranks and the streams that run on them."""

    cost: float
    epoch: int = 1
    is_open: bool = True
    streams: dict[int, float] = field(default_factory=dict)

    def compute_pass(self) -> float:
        return BASE + self.cost * len(self.streams)

    def report(self, slots: int) -> GroupLoad:
        count = len(self.streams)
        seconds = self.compute_pass() if count else 0
        return GroupLoad(
            count, 0, seconds, BASE, self.is_open, self.epoch, slots
        )


@dataclass
class Replay:
    """One entry with callers that come at a constant rate."""

    clock: float = 1000.0
    gate: StreamGate = field(
        default_factory=lambda: StreamGate(MAX_GAP, random=Random(2))
    )
    groups: dict[str, Group] = field(
        default_factory=lambda: {
            name: Group(cost) for name, cost in COSTS.items()
        }
    )
    came: int = 0
    whole: int = 0
    refused: int = 0
    resumed: int = 0
    on_time: list[tuple[float, bool]] = field(default_factory=list)
    longest_pass: dict[str, float] = field(default_factory=dict)
    overfilled: list[str] = field(default_factory=list)
    lost: deque[int] = field(default_factory=deque)

    @property
    def elapsed(self) -> float:
        return self.clock - 1000

    async def run(self) -> None:
        random = Random(5)
        groups = {
            name: GroupBackends(1, slots) for name, slots in SLOTS.items()
        }
        self.gate.rooms.update_backends(groups, 1)
        ticks = 0
        while self.elapsed < SECONDS or self.gate.running or self.gate.waiting:
            self.clock += TICK
            ticks += 1
            if self.elapsed < SECONDS and random.random() < ARRIVALS * TICK:
                self.came += 1
                await curio.spawn(self._serve, self.came, daemon=True)
            self._break_and_return()
            if not ticks % REPORT_TICKS:
                await self._report()
            self._advance()
            await curio.sleep(0)
            await self.gate.process_queue()
            for _ in range(10):
                await curio.sleep(0)

    async def _report(self) -> None:
        for name, group in self.groups.items():
            await self.gate.update_load(group.report(SLOTS[name]), 1, name)

    def _break_and_return(self) -> None:
        since, until = BROKEN_SECONDS
        big = self.groups['big']
        if big.is_open and since <= self.elapsed < until:
            big.is_open = False
            self.lost.extend(big.streams)
            big.streams.clear()
        elif not big.is_open and self.elapsed >= until:
            big.is_open = True
            big.epoch += 1

    def _advance(self) -> None:
        for name, group in self.groups.items():
            seconds = group.compute_pass()
            since = BROKEN_SECONDS[1]
            if since <= self.elapsed < since + RETURN_SECONDS:
                longest = self.longest_pass.get(name, 0)
                self.longest_pass[name] = max(longest, seconds)
            group.streams = {
                number: left - TICK / seconds
                for number, left in group.streams.items()
            }

    async def _serve(self, number: int) -> None:
        call = make_call()
        while await self.gate.acquire(call):
            if await self._stream(call, number):
                self.whole += 1
                return
            self.resumed += 1
            call.cursor = 1
            call.last_event_at = self.clock
        self.refused += 1

    async def _stream(self, call: Call, number: int) -> bool:
        """Run a stream; returns whether it was whole."""
        room = call.room
        assert room is not None
        group = self.groups[room.name]
        try:
            if not group.is_open:
                room.record_refusal()
                return False
            room.record_start()
            self._record_start(call, room, group)
            group.streams[number] = PASSES
            while group.streams.get(number, 0) > 0:
                await curio.sleep(0)
            return group.streams.pop(number, None) is not None
        finally:
            await self.gate.release(call)

    def _record_start(self, call: Call, room: GroupRoom, group: Group) -> None:
        if room.running >= max(room.limit.regular, room.limit.urgent) + 1:
            self.overfilled.append(room.name)
        if call.cursor is None:
            waited = self.clock - call.started_at
            first = waited + FIRST_EVENT_PASSES * group.compute_pass()
            self.on_time.append((call.started_at, first <= ROUTE.objective))


def test_a_group_breaks_and_comes_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Streams of a broken group must go on in the other, as it has room."""
    replay = Replay()
    monkeypatch.setattr(time, 'monotonic', lambda: replay.clock)
    curio.run(replay.run)
    assert replay.whole + replay.refused == replay.came
    assert replay.resumed > 0
    assert not replay.overfilled
    for name, seconds in replay.longest_pass.items():
        # The last place may be a part of one, and a report may lack a stream
        # that is on its way.
        bound = URGENT_PASS_FRACTION * MAX_GAP + 2 * COSTS[name]
        assert seconds <= bound, name
    calm = [
        is_on_time
        for started_at, is_on_time in replay.on_time
        if not 7 <= started_at - 1000 < 12
    ]
    assert sum(calm) >= MIN_ON_TIME * len(calm)
