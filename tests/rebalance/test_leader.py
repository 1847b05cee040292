"""Control loop of a coordinator."""

from __future__ import annotations

from typing import Any

import curio

from ospreyford.rebalance.agentports import AgentPorts
from ospreyford.rebalance.decisions import GroupSettled
from ospreyford.rebalance.group import Armed
from ospreyford.rebalance.leader import GroupLeader
from ospreyford.rebalance.mapcache import MapCache
from ospreyford.rebalance.metrics import AgentMetrics
from ospreyford.rebalance.ranks import GroupRanks
from ospreyford.rebalance.settings import RebalanceSettings
from tests.direct.backends import RecordingLog
from tests.fakes.clock import FakeClock
from tests.rebalance.test_ranks import AGENT_ADDRESS, make_ranks, make_state


def make_leader(
    lines: RecordingLog, clock: FakeClock
) -> tuple[GroupLeader, GroupRanks]:
    ranks = make_ranks(clock)
    maps = MapCache()
    maps.put(make_state().version, (((0,), (1,)),))
    nothing: Any = None
    leader = GroupLeader(
        ranks,
        maps,
        None,
        RebalanceSettings(),
        AgentMetrics(),
        AgentPorts(nothing, nothing, lines, clock),  # type: ignore[arg-type]
    )
    return leader, ranks


async def run_repeatedly(lines: RecordingLog) -> None:
    leader, ranks = make_leader(lines, FakeClock())
    nothing: Any = None
    ranks.record_state(make_state(0)._replace(armed=Armed(9, 50)))
    ranks.record_report(make_state(1), AGENT_ADDRESS)
    for _ in range(5):
        assert await leader.run_once(1, nothing, 0.12)


def test_idle_armed_group_is_logged_once() -> None:
    """Guards against one log line for each check of an idle, armed group."""
    lines = RecordingLog()
    curio.run(run_repeatedly, lines)
    assert len(lines.find(GroupSettled)) == 1


def test_leave_is_granted_when_no_pass_is_held() -> None:
    """Guards against an agent that stops while its rank holds a pass."""
    leader, ranks = make_leader(RecordingLog(), FakeClock())
    ranks.record_state(make_state(0))
    ranks.record_report(make_state(1)._replace(held=50), AGENT_ADDRESS)
    assert not leader.grant_leave()
    ranks.record_report(make_state(1)._replace(sequence=7), AGENT_ADDRESS)
    assert leader.grant_leave()


def test_serial_agent_stops_do_not_block_map_changes() -> None:
    """Guards against delays that add up while agents stop one by one."""
    clock = FakeClock()
    leader, ranks = make_leader(RecordingLog(), clock)
    ranks.record_state(make_state(0))
    ranks.record_report(make_state(1), AGENT_ADDRESS)
    moments = 0
    for _ in range(72):
        leader.grant_leave()
        clock.advance(0.5)
        moments += leader.may_plan()
    assert moments > 36
