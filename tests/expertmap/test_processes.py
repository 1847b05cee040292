"""Tests of three agent processes, checked by the journal of a rank group."""

from __future__ import annotations

import os
import socket
import time
from pathlib import Path

import curio
import pytest

from ospreyford.standins.controls import control, read_journal
from ospreyford.standins.launcher import Launched, Launcher

RANKS = 3
DEADLINE_SECONDS = 20.0


class AgentProcesses:
    """Agent and rank-group processes."""

    def __init__(self, launcher: Launcher, ignoring: int) -> None:
        self._launcher = launcher
        self._ports = '-'.join(map(str, find_free_ports(RANKS)))
        self.rank_group = launcher.start(
            'ospreyford.standins.rankgroup',
            '--ranks',
            RANKS,
            '--ignoring',
            ignoring,
        )
        self.agents = [self.start_agent(slot) for slot in range(RANKS)]

    def start_agent(self, slot: int) -> Launched:
        return self._launcher.start(
            'tests.expertmap.rank_process',
            '--slot',
            slot,
            '--ports',
            self._ports,
            '--engine_port',
            self.rank_group.port,
        )

    def read_maps(self) -> dict[int, dict[int, int]]:
        """Read the map digest that each rank used, by step."""
        maps: dict[int, dict[int, int]] = {}
        for entry in curio.run(read_journal(self.rank_group.port)):
            note = entry.note
            used = maps.setdefault(int(note['step']), {})
            used[int(note['rank'])] = int(note['digest'])
        return maps

    def wait_for_progress(self, digests: int = 2) -> None:
        """Wait for further steps with several maps."""
        before = len(self.read_maps())
        deadline = time.monotonic() + DEADLINE_SECONDS
        while time.monotonic() < deadline:
            later = list(self.read_maps().values())[before:]
            if len({used[0] for used in later}) >= digests:
                return
            time.sleep(0.2)
        raise AssertionError([agent.errors for agent in self.agents])

    def check_maps(self) -> None:
        """Assert that all ranks used the same map in each step."""
        for used in self.read_maps().values():
            assert set(used) == set(range(RANKS))
            assert len(set(used.values())) == 1


def find_free_ports(number: int) -> list[int]:
    sockets = [socket.socket() for _ in range(number)]
    for sock in sockets:
        sock.bind(('127.0.0.1', 0))
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


@pytest.mark.parametrize('ignoring', [-1, 1])
def test_one_map_through_kill_and_pause(
    ignoring: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Process and engine faults must not split or stall the group."""
    root = str(Path(__file__).parents[2])
    paths = os.pathsep.join((root, str(Path(root, 'src'))))
    monkeypatch.setenv('PYTHONPATH', paths)
    with Launcher() as launcher:
        fleet = AgentProcesses(launcher, ignoring)
        fleet.wait_for_progress()
        fleet.agents[0].kill()
        time.sleep(0.5)
        fleet.agents[0] = fleet.start_agent(0)
        fleet.wait_for_progress()
        fleet.agents[0].pause()
        time.sleep(1.5)
        fleet.agents[0].resume()
        fleet.wait_for_progress()
        curio.run(control(fleet.rank_group.port, {'restart': 2}))
        fleet.wait_for_progress()
        fleet.check_maps()
