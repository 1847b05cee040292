"""Tests of drains, rank group leadership, planning and load decoding."""

from __future__ import annotations

from typing import Any

import pytest

from ospreyford.agent.backend import _decode_load
from ospreyford.agent.drains import DrainState
from ospreyford.agent.expertloads import HttpLoadSource
from ospreyford.agent.placementloop import PlacementLoop
from ospreyford.agent.ranks import RankGroupMember
from ospreyford.agent.rankssettings import RankSection
from ospreyford.expertmap.maps import ExpertMap
from ospreyford.expertmap.settings import RankSettings
from ospreyford.placement.map import make_initial_map
from ospreyford.ports.fleet import Host, HostState
from tests.entry.test_directory import FIRST, make_directory
from tests.fakes.clock import FakeClock
from tests.fakes.stepping import Stepper
from tests.placement.factories import SHAPE, WEIGHTS, make_report

ADDRESSES = ('127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3')
LEAVING = FIRST._replace(state=HostState.leaving)
MARKED = FIRST._replace(labels={**FIRST.labels, 'maintenance': 'disk'})


@pytest.mark.parametrize(
    ('lists', 'stopping', 'documents', 'causes'),
    [
        ([(FIRST,)], False, True, []),
        ([(LEAVING,)], False, True, ['host list']),
        ([(LEAVING,), ()], False, True, ['host list']),
        ([(LEAVING,), (FIRST,)], False, True, []),
        ([(LEAVING._replace(name='other'),)], False, True, []),
        ([(MARKED,)], False, True, ['drain request']),
        ([(MARKED,)], False, False, []),
        ([], True, False, ['signal']),
        ([(MARKED,), (LEAVING,)], True, True, ['signal', 'host list']),
    ],
)
def test_any_cause_drains(
    lists: Any, stopping: bool, documents: bool, causes: list[str]
) -> None:
    state = DrainState(FIRST.name)
    state.stopping = stopping
    if documents:
        state.handle_picture(make_directory().picture)  # type: ignore[arg-type]
    for hosts in lists:
        state.handle_hosts(hosts)
    assert [one.source for one in state.find_causes()] == causes


def make_section(slot: int) -> RankSection:
    return RankSection(
        agreement=RankSettings(group='g', slot=slot, addresses=ADDRESSES),
        members=('a', 'b', 'c'),
        engine='127.0.0.1:9',
        shape=SHAPE,
        placement=WEIGHTS,
    )


def make_host(name: str, address: str) -> Host:
    return Host(name, 'i', 'backend', 'z', 'r', 's', '', address)


@pytest.mark.parametrize(
    ('slot', 'live', 'moved', 'is_leader'),
    [
        (0, ADDRESSES, (), True),
        (1, ADDRESSES, (), False),
        (1, ADDRESSES[1:], (), True),
        (2, ADDRESSES[1:], (), False),
        (2, (), (), True),
        (1, ('127.0.0.1:7',), (make_host('a', '127.0.0.1:7'),), False),
        (1, ADDRESSES, (make_host('a', '127.0.0.1:7'),), True),
    ],
)
def test_lowest_live_slot_leads(
    slot: int, live: Any, moved: Any, is_leader: bool
) -> None:
    """Only one member must lead, also after a host got a new address."""
    peers: Any = None
    member = RankGroupMember(make_section(slot), peers, FakeClock())
    member.handle_hosts(moved)
    member.handle_live_peers(frozenset(live))
    assert member.placement.is_leader is is_leader


class FakeRankService:
    """Agreement protocol whose members all use the initial map."""

    def __init__(self) -> None:
        first = make_initial_map(SHAPE)
        self.current = first.revision
        self.proposed: list[Any] = []
        self.acceptor = self
        self.maps = self
        self.find = {first.revision: first}.get
        self.pending: Any = None

    def newest(self) -> Any:
        return self.pending

    def propose(self, target: Any) -> None:
        self.proposed.append(target)


class FakeLoadSource:
    def __init__(self, report: Any) -> None:
        self.report = report

    async def read(self) -> Any:
        return self.report


#: Late enough for the token bucket to allow moves.
REPORTED_AT_SECONDS = 1060
VALID_REPORT = make_report(REPORTED_AT_SECONDS)


@pytest.mark.parametrize(
    ('report', 'leads', 'proposals'),
    [
        (VALID_REPORT, True, 1),
        (VALID_REPORT, False, 0),
        (None, True, 0),
        (make_report(0, age_seconds=1e6), True, 0),
        (make_report(REPORTED_AT_SECONDS, age_seconds=float('nan')), True, 0),
        (make_report(REPORTED_AT_SECONDS, ranks=SHAPE.ranks - 1), True, 0),
        (make_report(REPORTED_AT_SECONDS, tokens=((1.0,),)), True, 0),
        (make_report(REPORTED_AT_SECONDS, layer=(float('nan'),) * 8), True, 0),
    ],
)
def test_bad_reports_propose_nothing(
    report: Any, leads: bool, proposals: int
) -> None:
    group: Any = FakeRankService()
    clock = FakeClock()
    loop = PlacementLoop(make_section(0), group, FakeLoadSource(report), clock)
    loop.is_leader = leads
    clock.advance(60)
    stepper = Stepper()
    task = stepper.spawn('loop', loop.run())
    for _ in range(30):
        stepper.resume(task)
    assert min(len(group.proposed), 1) == proposals


@pytest.mark.parametrize(
    ('waited', 'revisions'), [(0, []), (599, []), (601, [8])]
)
def test_plan_under_way_is_left_alone(
    waited: float, revisions: list[int]
) -> None:
    """A plan whose weights are loading must not be replaced too early."""
    group: Any = FakeRankService()
    group.pending = ExpertMap(revision=7, layers=()).name()
    clock = FakeClock(REPORTED_AT_SECONDS - waited)
    loop = PlacementLoop(
        make_section(0), group, FakeLoadSource(VALID_REPORT), clock
    )
    for moment in (waited, 0):
        stepper = Stepper()
        task = stepper.spawn('evaluate', loop.evaluate_once())
        while not task.done:
            stepper.resume(task)
        clock.advance(moment)
    assert [each.revision for each in group.proposed] == revisions


@pytest.mark.parametrize(
    'body', [b'', b'[]', b'{"queued":"\xff"}', b'{"x":%b' % (b'[' * 100_000)]
)
def test_bad_load_reading_is_none(body: bytes) -> None:
    """A malformed load report must not raise in the polling task."""
    assert _decode_load(body) is None
    assert HttpLoadSource(('', 0), FakeClock())._decode(body) is None
