"""End-to-end test of a rank group, checked against the engine's journal."""

from __future__ import annotations

import itertools
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

import curio
import pytest

from ospreyford.settings.types import split_address
from ospreyford.standins.controls import control, read_journal
from ospreyford.standins.deployment import CATERER, Size
from ospreyford.standins.fleet import Fleet, ask
from ospreyford.standins.launcher import Launcher

RANKS = 3
IGNORING_RANK = 1
DOCUMENTS = Path(__file__).parents[2] / 'examples' / 'caterer' / 'documents'
#: Includes the time for loading and dropping weights.
PROGRESS_SECONDS = 60.0
#: Longer than the timeouts of queries, takeovers and failure suspicion.
PAUSE_SECONDS = 7.0
#: Long enough for granted step windows to expire.
STORE_DOWN_SECONDS = 2.0
#: Total over both layers.
EXPERTS = 12
HOT_TOKENS, COLD_TOKENS = 5000.0, 100.0


class Group:
    """A fleet with a rank group, and access to the engine's journal."""

    def __init__(self, fleet: Fleet) -> None:
        assert fleet.ranks is not None and fleet.weights is not None
        self._fleet = fleet
        self._store_port = fleet.weights.port
        self._port = fleet.ranks.port
        self._hot = itertools.cycle(range(6))
        self.agents = [
            host.name
            for host in fleet.hosts
            if host.service == CATERER.model_service
        ]

    def shift_load(self) -> None:
        """Shift the load to two other experts."""
        hot = next(self._hot)
        tokens = [COLD_TOKENS] * 6
        tokens[hot] = HOT_TOKENS
        tokens[hot - 3] = HOT_TOKENS
        curio.run(control(self._port, {'loads': [tokens, tokens]}))

    def read_maps(self) -> dict[int, dict[int, int]]:
        """Read the map digest that each rank used in each step."""
        maps: defaultdict[int, dict[int, int]] = defaultdict(dict)
        for entry in curio.run(read_journal(self._port)):
            note: dict[str, Any] = entry.note
            if entry.event == 'step':
                maps[note['step']][note['rank']] = note['digest']
        return maps

    def wait_for_map_change(self) -> None:
        """Wait for steps with a new map."""
        before = self._read_digests()
        deadline = time.monotonic() + PROGRESS_SECONDS
        while not self._read_digests() - before:
            self.check()
            assert time.monotonic() < deadline, self._read_errors()
            self.shift_load()
            time.sleep(1)

    def find_leader(self) -> str:
        """Find the agent that plans, as reported by an entry."""
        deadline = time.monotonic() + PROGRESS_SECONDS
        while time.monotonic() < deadline:
            plans = self.read_plans()
            if plans:
                return min(plans)
            time.sleep(0.2)
        raise AssertionError(self._read_errors())

    def read_plans(self) -> dict[str, Any]:
        """Query an entry for the placement explanations."""
        entry = self._fleet.list_entries()[0]
        _, port = split_address(entry.admin_address)
        plans: dict[str, Any] = ask(port, '/plan')
        return plans

    def check(self) -> None:
        """Check that all ranks ran each step with one map and its weights."""
        for step, used in self.read_maps().items():
            assert set(used) == set(range(RANKS)), step
            assert len(set(used.values())) == 1, (step, used)
        for entry in curio.run(read_journal(self._port)):
            assert not entry.note.get('lacks'), entry

    def count_events(self, event: str) -> int:
        """Count the journal entries of an event."""
        entries = curio.run(read_journal(self._port))
        return sum(entry.event == event for entry in entries)

    def wait_for_count(self, event: str, number: int) -> None:
        """Wait until an event occurred a number of times."""
        deadline = time.monotonic() + PROGRESS_SECONDS
        while self.count_events(event) < number:
            assert time.monotonic() < deadline, self._read_errors()
            self.shift_load()
            time.sleep(1)

    def set_store(self, mode: str) -> None:
        """Set the weight store's mode."""
        curio.run(control(self._store_port, {'mode': mode}))

    def restart_engine(self, rank: int) -> None:
        """Restart a rank's engine without weights."""
        curio.run(control(self._port, {'restart': rank}))

    def _read_digests(self) -> set[int]:
        return {used[0] for used in self.read_maps().values()}

    def _read_errors(self) -> list[str]:
        programs = self._fleet.programs
        return [programs[name].process.errors for name in self.agents]


@pytest.fixture
def launcher() -> Any:
    with Launcher() as started:
        yield started


def test_one_map_through_kill_and_pause(
    launcher: Launcher, tmp_path: Path
) -> None:
    """Ranks must never mix maps in a step, and the group must recover.

    Covers a killed leader, a paused member, a store outage and a restarted
    engine, with one engine that ignores fencing tokens.
    """
    size = Size(model_replicas=RANKS, plain_replicas=1, entries=1)
    fleet = Fleet(launcher, CATERER, size, DOCUMENTS, tmp_path)
    fleet.start_ranks(IGNORING_RANK)
    fleet.start()
    group = Group(fleet)
    group.wait_for_map_change()

    leader = fleet.programs[group.find_leader()]
    group.shift_load()
    time.sleep(0.7)
    leader.process.kill()
    time.sleep(0.5)
    fleet.start_program(leader.host)
    group.wait_for_map_change()

    member = fleet.programs[group.agents[IGNORING_RANK]]
    member.process.pause()
    time.sleep(PAUSE_SECONDS)
    member.process.resume()
    group.wait_for_map_change()

    # An engine cannot reload its weights while the store is down.
    loads = group.count_events('loaded')
    group.set_store('down')
    group.restart_engine(2)
    time.sleep(STORE_DOWN_SECONDS)
    steps = group.read_maps()
    time.sleep(STORE_DOWN_SECONDS)
    assert group.read_maps() == steps
    group.set_store('up')
    group.wait_for_map_change()
    group.wait_for_count('loaded', loads + EXPERTS // RANKS)
    group.wait_for_count('dropped', 1)

    assert member.process.exit_code is None
    assert set(group.read_plans()) <= set(group.agents)
    group.check()
