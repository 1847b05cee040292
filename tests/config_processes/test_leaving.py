"""Leaving marks of the host list on real processes."""

from __future__ import annotations

from pathlib import Path

from ospreyford.measure.inforce import DOCUMENTS
from ospreyford.standins.deployment import CATERER, Size
from ospreyford.standins.fleet import Fleet, Program, ask, is_ready
from ospreyford.standins.launcher import Launcher
from tests.config_processes.rig import wait_until

SIZE = Size(model_replicas=0, plain_replicas=2, entries=2)


def await_unready(program: Program) -> None:
    wait_until(lambda: not is_ready(program))


def test_marked_processes_are_unready(tmp_path: Path) -> None:
    """Guards against new work for an entry or agent marked as leaving."""
    with Launcher() as launcher:
        fleet = Fleet(launcher, CATERER, SIZE, DOCUMENTS, tmp_path)
        fleet.start()
        entries = fleet.list_entries()
        agents = [one for one in fleet.programs.values() if one not in entries]
        for marked, other in (entries, agents):
            name = marked.host.name
            ask(fleet.host_list.port, '/control', {'leave': name})
            await_unready(marked)
            assert is_ready(other)
