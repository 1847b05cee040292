"""Map cache, pass timer, failure detector and map versions."""

from __future__ import annotations

import pytest

from ospreyford.rebalance.failuredetector import FailureDetector
from ospreyford.rebalance.mapcache import MAX_CACHED_MAPS, MapCache
from ospreyford.rebalance.passes import PassTimer
from ospreyford.rebalance.versions import (
    FENCE_AUTHOR,
    decode_author,
    encode_version,
)
from tests.fakes.clock import FakeClock


def test_recent_maps_are_cached() -> None:
    """A new coordinator needs the whole map without asking a failed agent."""
    maps = MapCache()
    for version in range(MAX_CACHED_MAPS + 3):
        maps.put(version, (((version,),),))
    assert maps.get(1) is None
    assert maps.get(3) is None
    assert maps.get(MAX_CACHED_MAPS + 2) == (((MAX_CACHED_MAPS + 2,),),)
    # The initial map is never evicted.
    assert maps.get(0) == (((0,),),)


def test_the_mean_of_the_last_passes() -> None:
    timer = PassTimer()
    assert not timer.compute_mean_seconds()
    for number in range(100):
        timer.record_step(number // 2, number / 100)
    assert 50 * timer.compute_mean_seconds() == 1
    timer.record_step(1, 1.0)
    assert not timer.compute_mean_seconds()


def test_suspected_agents_are_probed_at_intervals() -> None:
    clock = FakeClock()
    agents = FailureDetector(clock)
    assert not agents.try_probe('a')
    clock.advance(0.6)
    agents.record_report('b')
    assert agents.try_probe('a')
    assert not agents.try_probe('a')
    assert not agents.try_probe('b')
    clock.advance(0.3)
    assert agents.try_probe('a')


#: Report interval and silence in seconds, and whether it is suspected.
SHORT_INTERVALS = ((0.09, 0.4, False), (0.09, 0.6, True), (0.24, 0.55, False))
LONG_INTERVALS = ((0.95, 1.9, False), (0.95, 2.6, True))


@pytest.mark.parametrize(
    ('interval', 'silence', 'is_silent'), SHORT_INTERVALS + LONG_INTERVALS
)
def test_timeout_scales_with_report_interval(
    interval: float, silence: float, *, is_silent: bool
) -> None:
    """Guards against suspecting all agents of a large group between reports."""
    clock = FakeClock()
    agents = FailureDetector(clock)
    for _ in range(400):
        clock.advance(interval)
        agents.record_report('a')
    clock.advance(silence)
    assert agents.is_suspected('a') is is_silent


RANK_CASES = (0, 7, 126, 127, 128, 515)


@pytest.mark.parametrize('rank', RANK_CASES)
def test_version_encodes_its_author(rank: int) -> None:
    """Guards against mistaking a rank for the fence author or another rank."""
    version = encode_version(1_800_000_000_123, rank)
    assert decode_author(version) == rank
    assert decode_author(version) != FENCE_AUTHOR
    # Largest integer that JSON numbers represent exactly.
    assert version < 2**53


def test_fence_version_is_the_last_of_its_millisecond() -> None:
    assert decode_author(encode_version(1, FENCE_AUTHOR)) == FENCE_AUTHOR
    assert encode_version(2, 0) > encode_version(1, FENCE_AUTHOR)


def test_lost_coordinator_is_suspected_until_it_reports() -> None:
    """A successor must not wait for the failure timeout a second time."""
    clock = FakeClock()
    agents = FailureDetector(clock)
    agents.mark_failed('a')
    assert agents.is_suspected('a')
    assert not agents.is_suspected('b')
    agents.record_report('a')
    assert not agents.is_suspected('a')
