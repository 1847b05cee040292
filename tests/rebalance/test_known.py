"""Maps that agents remember, passes they time, agents that are silent."""

from __future__ import annotations

import pytest

from ospreyford.rebalance.knownmaps import KEPT, KnownMaps
from ospreyford.rebalance.passes import PassTimer
from ospreyford.rebalance.silence import SilentAgents
from ospreyford.rebalance.versions import NOBODY, find_author, make_version
from tests.fakes.clock import FakeClock


def test_the_last_maps_are_kept() -> None:
    """A new coordinator waited for an agent that was frozen.

    Sequence: the coordinator's host freezes; the next one needs the whole map
    to change or settle the group. Cause: it put the map together from what
    each agent reported of its own rank.
    """
    maps = KnownMaps()
    for version in range(KEPT + 3):
        maps.note(version, (((version,),),))
    assert maps.find(1) is None
    assert maps.find(3) is None
    assert maps.find(KEPT + 2) == (((KEPT + 2,),),)
    # The first map of a group is the same whenever it opens.
    assert maps.find(0) == (((0,),),)


def test_the_mean_of_the_last_passes() -> None:
    timer = PassTimer()
    assert not timer.tell_mean()
    for number in range(100):
        timer.add(number // 2, number / 100)
    assert 50 * timer.tell_mean() == 1
    timer.add(1, 1.0)
    assert not timer.tell_mean()


def test_silent_agents_are_looked_past_now_and_then() -> None:
    clock = FakeClock()
    agents = SilentAgents(clock)
    assert not agents.take_look('a')
    clock.advance(0.6)
    agents.note_report('b')
    assert agents.take_look('a')
    assert not agents.take_look('a')
    assert not agents.take_look('b')
    clock.advance(0.3)
    assert agents.take_look('a')


#: Time between two reports, and what silence makes an agent silent, in seconds.
INTERVALS = ((0.09, 0.4, False), (0.09, 0.6, True), (0.24, 0.55, False))
LONG_INTERVALS = ((0.95, 1.9, False), (0.95, 2.6, True))


@pytest.mark.parametrize(
    ('interval', 'silence', 'is_silent'), INTERVALS + LONG_INTERVALS
)
def test_silence_is_measured_in_reports(
    interval: float, silence: float, *, is_silent: bool
) -> None:
    """All agents of a large group counted as silent between two reports."""
    clock = FakeClock()
    agents = SilentAgents(clock)
    for _ in range(400):
        clock.advance(interval)
        agents.note_report('a')
    clock.advance(silence)
    assert agents.is_silent('a') is is_silent


RANK_CASES = (0, 7, 126, 127, 128, 515)


@pytest.mark.parametrize('rank', RANK_CASES)
def test_a_version_tells_its_author(rank: int) -> None:
    """Two maps in one pass: a rank taken for nobody, or for another rank."""
    version = make_version(1_800_000_000_123, rank)
    assert find_author(version) == rank
    assert find_author(version) != NOBODY
    # JSON numbers are exact up to here.
    assert version < 2**53


def test_versions_of_one_millisecond_end_with_nobody() -> None:
    assert find_author(make_version(1, NOBODY)) == NOBODY
    assert make_version(2, 0) > make_version(1, NOBODY)


def test_a_lost_coordinator_is_silent_until_it_reports() -> None:
    """A group stood still for half a second longer than it took to notice.

    Sequence: a coordinator's host freezes in the middle of a change; the next
    one takes over after 0.45 s without a heartbeat. Cause: it counted the
    silence of that host anew from its own beginning.
    """
    clock = FakeClock()
    agents = SilentAgents(clock)
    agents.note_lost('a')
    assert agents.is_silent('a')
    assert not agents.is_silent('b')
    agents.note_report('a')
    assert not agents.is_silent('a')
