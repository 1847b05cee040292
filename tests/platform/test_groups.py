"""Several rank groups in one service: real agents and entries on loopback."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import chain

import curio
import pytest

from tests.platform.groupchecks import (
    TakenTerm,
    find_counted,
    find_fenced,
    find_mixed_passes,
    find_refused,
    find_shared_tokens,
)
from tests.platform.groupfleet import OK_STATUS, GroupFleet

#: Numbers of ranks.
SIZES = ((3, 3), (2, 3), (2, 3, 4))
CALM_SECONDS = 6.0
INTERVAL_SECONDS = 0.2
#: Bound of the time for which a group is held, from issue 52.
MAX_HELD_SECONDS = 1.0


@dataclass
class CalmPlay:
    """A play in which nothing fails.

    :param fleet: what was played.
    :param names: names of its groups.
    :param reached: groups in which streams began.
    :param figures: counters of the agents.
    :param terms: terms that agents have taken.
    :param statuses: of the streams that ended meanwhile.
    """

    fleet: GroupFleet
    names: set[str]
    reached: set[str] = field(default_factory=set)
    figures: dict[str, float] = field(default_factory=dict)
    terms: list[TakenTerm] = field(default_factory=list)
    statuses: set[int] = field(default_factory=set)

    async def play(self) -> None:
        began = time.time()
        await curio.sleep(CALM_SECONDS)
        self.figures = await self.fleet.read_figures()
        self.reached = self.fleet.list_reached(began)
        self.terms = self.fleet.list_terms()
        self.statuses = {one.status for one in self.fleet.calls}


@pytest.fixture(scope='module', params=SIZES, ids=str)
def calm(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[CalmPlay]:
    """Play a calm time with groups of these sizes."""
    fleet = GroupFleet(request.param, tmp_path_factory.mktemp('groups'))
    play = CalmPlay(fleet, {one.options.name for one in fleet.groups})
    curio.run(fleet.run, INTERVAL_SECONDS, play.play)
    yield play


def test_a_token_orders_ranks_of_one_group(calm: CalmPlay) -> None:
    """Guards against a coordinator that takes in ranks of another group."""
    assert not list(find_shared_tokens(calm.fleet.record.orders, calm.terms))
    assert len(calm.terms) == len(calm.names)


def test_nothing_is_refused_or_fenced(calm: CalmPlay) -> None:
    """Guards against two groups whose states overwrite each other."""
    orders = calm.fleet.record.orders
    assert not list(chain(find_refused(orders), find_fenced(orders)))


def test_counters_of_refusals_stay_zero(calm: CalmPlay) -> None:
    """Guards a landing: orders refused or terms fenced on a calm day."""
    assert 'ospreyford_terms_fenced_total' in calm.figures
    assert not list(find_counted(calm.figures))


def test_maps_of_all_groups_follow_the_load(calm: CalmPlay) -> None:
    """Guards against a group that no coordinator changes, or holds for long."""
    record = calm.fleet.record
    assert {one.group for one in record.orders} == calm.names
    assert not list(find_mixed_passes(record))
    assert max(record.held_seconds.values(), default=0) < MAX_HELD_SECONDS


def test_streams_reach_all_groups(calm: CalmPlay) -> None:
    """Guards against entries that know one group only."""
    assert calm.reached == calm.names
    assert calm.statuses == {OK_STATUS}
