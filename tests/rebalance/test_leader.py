"""What a coordinator does at each look at its group."""

from __future__ import annotations

from typing import Any

import curio

from ospreyford.rebalance.decisions import GroupSettled
from ospreyford.rebalance.group import Armed
from ospreyford.rebalance.knownmaps import KnownMaps
from ospreyford.rebalance.leader import GroupLeader
from ospreyford.rebalance.metrics import AgentMetrics
from ospreyford.rebalance.outside import Outside
from ospreyford.rebalance.ranks import GroupRanks
from ospreyford.rebalance.settings import Pace
from tests.direct.backends import RecordingLog
from tests.fakes.clock import FakeClock
from tests.rebalance.test_ranks import AGENT, make_ranks, make_state


def make_leader(
    lines: RecordingLog, clock: FakeClock
) -> tuple[GroupLeader, GroupRanks]:
    ranks = make_ranks(clock)
    maps = KnownMaps()
    maps.note(make_state().version, (((0,), (1,)),))
    nothing: Any = None
    leader = GroupLeader(
        ranks,
        maps,
        None,
        Pace(),
        AgentMetrics(),
        Outside(nothing, nothing, lines, clock),  # type: ignore[arg-type]
    )
    return leader, ranks


async def look_often(lines: RecordingLog) -> None:
    leader, ranks = make_leader(lines, FakeClock())
    nothing: Any = None
    ranks.note_state(make_state(0)._replace(armed=Armed(9, 50)))
    ranks.note_report(make_state(1), AGENT)
    for _ in range(5):
        assert await leader.work(1, nothing, 0.12)


def test_an_idle_group_that_stays_armed_has_one_line() -> None:
    """Seventeen lines in half a second said the same.

    Sequence: the last change before a quiet time; the group makes no pass, so
    its ranks stay armed. Cause: each look at the group was logged.
    """
    lines = RecordingLog()
    curio.run(look_often, lines)
    assert len(lines.find(GroupSettled)) == 1


def test_an_agent_may_end_when_no_pass_is_held() -> None:
    """A coordinator asked an agent that had ended, with a pass held."""
    leader, ranks = make_leader(RecordingLog(), FakeClock())
    ranks.note_state(make_state(0))
    ranks.note_report(make_state(1)._replace(held=50), AGENT)
    assert not leader.let_leave()
    ranks.note_report(make_state(1)._replace(sequence=7), AGENT)
    assert leader.let_leave()


def test_stops_in_series_do_not_stop_changes_of_maps() -> None:
    """Passes grew long while agents were stopped one after the other.

    Each that asks to leave delays the next change, and each came before the
    delay of the one before had passed: 72 of them, one each half second, left
    no moment for a change in 36 s.
    """
    clock = FakeClock()
    leader, ranks = make_leader(RecordingLog(), clock)
    ranks.note_state(make_state(0))
    ranks.note_report(make_state(1), AGENT)
    moments = 0
    for _ in range(72):
        leader.let_leave()
        clock.advance(0.5)
        moments += leader.may_plan()
    assert moments > 36
