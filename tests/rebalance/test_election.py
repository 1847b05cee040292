from __future__ import annotations

import pytest

from ospreyford.rebalance.election import (
    CANDIDATE_STAGGER_SECONDS,
    HEARTBEAT_STALE_SECONDS,
    INITIAL_TIMEOUT_SECONDS,
    Election,
)
from ospreyford.rebalance.versions import FENCE_AUTHOR, MAX_RANKS
from tests.fakes.clock import FakeClock

AGENTS = (('10.0.0.1', 7), ('10.0.0.2', 7), ('10.0.0.3', 7))


def make_elections(clock: FakeClock) -> list[Election]:
    return [Election(address, clock) for address in AGENTS]


def test_first_agent_campaigns_first() -> None:
    clock = FakeClock()
    elections = make_elections(clock)
    clock.advance(INITIAL_TIMEOUT_SECONDS + CANDIDATE_STAGGER_SECONDS / 2)
    stood = [one.campaign(AGENTS, rank) for rank, one in enumerate(elections)]
    assert stood == [True, False, False]


def test_a_silent_coordinator_is_replaced_with_a_higher_token() -> None:
    """Guards against a group that stays held after its coordinator fails."""
    clock = FakeClock()
    first, second, _ = make_elections(clock)
    clock.advance(0.5)
    first.campaign(AGENTS, 0)
    assert first.token is not None
    second.handle_heartbeat(first.token, AGENTS[0])
    clock.advance(0.8)
    assert second.campaign(AGENTS, 1)
    assert second.token is not None
    assert second.token > first.token


def test_a_paused_coordinator_steps_down_when_it_hears_the_next() -> None:
    clock = FakeClock()
    first, second, _ = make_elections(clock)
    clock.advance(0.5)
    first.campaign(AGENTS, 0)
    clock.advance(0.8)
    second.campaign(AGENTS, 1)
    assert first.token is not None
    assert second.token is not None
    assert not second.handle_heartbeat(first.token, AGENTS[0])
    first.handle_heartbeat(second.token, AGENTS[1])
    assert first.token is None
    assert second.is_leading()


def test_lagging_clock_still_gives_higher_token() -> None:
    clock = FakeClock()
    behind = FakeClock(wall_offset=clock.wall_offset - 5)
    first = Election(AGENTS[0], clock)
    second = Election(AGENTS[1], behind)
    clock.advance(0.5)
    first.campaign(AGENTS, 0)
    assert first.token is not None
    second.handle_heartbeat(first.token, AGENTS[0])
    behind.advance(2)
    assert second.campaign(AGENTS, 1)
    assert second.token is not None
    assert second.token > first.token


def make_followers(
    clock: FakeClock,
) -> tuple[int, Election, Election, Election]:
    """Make three agents that follow the first; return its token as well."""
    first, second, third = make_elections(clock)
    clock.advance(0.5)
    first.campaign(AGENTS, 0)
    assert first.token is not None
    for other in (second, third):
        other.handle_heartbeat(first.token, AGENTS[0])
    return first.token, first, second, third


def test_coordinator_that_leaves_is_replaced_at_once() -> None:
    """A planned stop must not cost an election timeout, also if repeated."""
    clock = FakeClock()
    token, first, second, third = make_followers(clock)
    first.withdraw()
    first.resign()
    for _ in range(3):
        second.handle_leave(token, AGENTS[0])
        third.handle_leave(token, AGENTS[0])
        clock.advance(0.05)
    assert not third.campaign(AGENTS, 2)
    assert second.campaign(AGENTS, 1)
    assert second.previous_host == AGENTS[0][0]
    assert second.token is not None
    assert second.token > token
    clock.advance(5)
    assert not first.campaign(AGENTS, 0)


def test_leave_of_another_coordinator_is_ignored() -> None:
    clock = FakeClock()
    token, _, second, _ = make_followers(clock)
    second.handle_leave(token - 1, AGENTS[0])
    second.handle_leave(token, AGENTS[2])
    clock.advance(0.2)
    assert not second.is_vacant
    assert not second.campaign(AGENTS, 1)


def test_late_heartbeat_does_not_undo_a_leave() -> None:
    clock = FakeClock()
    token, _, second, _ = make_followers(clock)
    for _ in range(2):
        second.handle_heartbeat(token, AGENTS[0])
        second.handle_leave(token, AGENTS[0])
    second.handle_heartbeat(token, AGENTS[0])
    assert second.is_vacant


RANK_PAIRS = ((0, 127), (0, 128), (1, 129), (0, 515))


@pytest.mark.parametrize(('low', 'high'), RANK_PAIRS)
def test_tokens_of_two_ranks_always_differ(low: int, high: int) -> None:
    """Guards against two coordinators with the same token."""
    tokens: dict[int, set[int]] = {low: set(), high: set()}
    for rank, seen in tokens.items():
        clock = FakeClock()
        for _ in range(4):
            election = Election(AGENTS[0], clock)
            clock.advance(0.5)
            assert election.campaign(AGENTS, rank)
            assert election.token is not None
            # Allow for clock differences of some milliseconds.
            seen.update(
                election.token + step * MAX_RANKS for step in range(-3, 4)
            )
    assert not tokens[low] & tokens[high]


def test_rank_with_reserved_number_does_not_campaign() -> None:
    clock = FakeClock()
    election = Election(AGENTS[0], clock)
    clock.advance(0.5)
    assert not election.campaign(AGENTS, FENCE_AUTHOR)


def test_agents_that_register_late_campaign_in_turn() -> None:
    """Guards against simultaneous elections when agents register together."""
    clock = FakeClock()
    elections = make_elections(clock)
    clock.advance(10)
    for one in elections:
        one.record_members(AGENTS)
    stood = [one.campaign(AGENTS, rank) for rank, one in enumerate(elections)]
    assert stood == [False, False, False]
    clock.advance(INITIAL_TIMEOUT_SECONDS + CANDIDATE_STAGGER_SECONDS / 2)
    stood = [one.campaign(AGENTS, rank) for rank, one in enumerate(elections)]
    assert stood == [True, False, False]


def test_relayed_heartbeats_do_not_keep_lost_coordinator_alive() -> None:
    """Guards against two agents that relay a lost coordinator to each other."""
    clock = FakeClock()
    first, second, third = make_elections(clock)
    clock.advance(0.5)
    first.campaign(AGENTS, 0)
    assert first.token is not None
    second.handle_heartbeat(first.token, AGENTS[0])
    third.handle_heartbeat(first.token, AGENTS[0], is_relayed=True)
    assert second.has_recent_heartbeat()
    assert not third.has_recent_heartbeat()
    for _ in range(6):
        clock.advance(HEARTBEAT_STALE_SECONDS / 2)
        second.handle_heartbeat(first.token, AGENTS[0], is_relayed=True)
    assert not second.has_recent_heartbeat()
    assert second.campaign(AGENTS, 1)
