"""The agreement under chosen sequences of events."""

from __future__ import annotations

from ospreyford.expertmap.maps import ExpertMap
from tests.expertmap.group import Group

FIRST = ExpertMap(revision=1, layers=(((0,), (1,)),))


def test_runs() -> None:
    group = Group(3, None, wall=False)
    group.processes[1].service.propose(FIRST)
    group.flow(400)
    print(group.referee.maps, group.now)
    assert len(group.referee.maps) > 20
