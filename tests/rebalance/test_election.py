from __future__ import annotations

import pytest

from ospreyford.rebalance.election import (
    ASK_SECONDS,
    FIRST_SECONDS,
    TURN_SECONDS,
    Election,
)
from ospreyford.rebalance.versions import NOBODY, RANKS_MOST
from tests.fakes.clock import FakeClock

AGENTS = (('10.0.0.1', 7), ('10.0.0.2', 7), ('10.0.0.3', 7))


def make(clock: FakeClock) -> list[Election]:
    return [Election(address, clock) for address in AGENTS]


def test_the_first_agent_stands_first() -> None:
    clock = FakeClock()
    elections = make(clock)
    clock.advance(FIRST_SECONDS + TURN_SECONDS / 2)
    stood = [one.stand(AGENTS, rank) for rank, one in enumerate(elections)]
    assert stood == [True, False, False]


def test_a_silent_coordinator_is_replaced_with_a_higher_token() -> None:
    """A group stands still behind a hold whose coordinator is gone.

    Sequence: the coordinator is killed between hold and go. Cause: nobody else
    may let the pass begin until the ranks obey a higher token.
    """
    clock = FakeClock()
    first, second, _ = make(clock)
    clock.advance(0.5)
    first.stand(AGENTS, 0)
    assert first.token is not None
    second.hear(first.token, AGENTS[0])
    clock.advance(0.8)
    assert second.stand(AGENTS, 1)
    assert second.token is not None
    assert second.token > first.token


def test_a_paused_coordinator_steps_down_when_it_hears_the_next() -> None:
    clock = FakeClock()
    first, second, _ = make(clock)
    clock.advance(0.5)
    first.stand(AGENTS, 0)
    clock.advance(0.8)
    second.stand(AGENTS, 1)
    assert first.token is not None
    assert second.token is not None
    assert not second.hear(first.token, AGENTS[0])
    first.hear(second.token, AGENTS[1])
    assert first.token is None
    assert second.is_leading()


def test_a_clock_behind_still_gives_a_higher_token() -> None:
    clock = FakeClock()
    behind = FakeClock(wall_offset=clock.wall_offset - 5)
    first = Election(AGENTS[0], clock)
    second = Election(AGENTS[1], behind)
    clock.advance(0.5)
    first.stand(AGENTS, 0)
    assert first.token is not None
    second.hear(first.token, AGENTS[0])
    behind.advance(2)
    assert second.stand(AGENTS, 1)
    assert second.token is not None
    assert second.token > first.token


def make_following(
    clock: FakeClock,
) -> tuple[int, Election, Election, Election]:
    """Make three agents of which the first coordinates; tell its token."""
    first, second, third = make(clock)
    clock.advance(0.5)
    first.stand(AGENTS, 0)
    assert first.token is not None
    for other in (second, third):
        other.hear(first.token, AGENTS[0])
    return first.token, first, second, third


def test_a_coordinator_that_says_it_stops_is_replaced_at_once() -> None:
    """A group had no coordinator for half a second after each planned stop.

    The others waited for silence, though the one that stopped could have told
    them. What it says counts once, also where it arrives again later.
    """
    clock = FakeClock()
    token, first, second, third = make_following(clock)
    first.retire()
    first.resign()
    for _ in range(3):
        second.hear_leaving(token, AGENTS[0])
        third.hear_leaving(token, AGENTS[0])
        clock.advance(0.05)
    assert not third.stand(AGENTS, 2)
    assert second.stand(AGENTS, 1)
    assert second.lost == AGENTS[0][0]
    assert second.token is not None
    assert second.token > token
    clock.advance(5)
    assert not first.stand(AGENTS, 0)


def test_only_the_coordinator_that_is_followed_can_leave_its_place() -> None:
    clock = FakeClock()
    token, _, second, _ = make_following(clock)
    second.hear_leaving(token - 1, AGENTS[0])
    second.hear_leaving(token, AGENTS[2])
    clock.advance(0.2)
    assert not second.is_vacant
    assert not second.stand(AGENTS, 1)


def test_a_late_heartbeat_does_not_undo_a_leave() -> None:
    clock = FakeClock()
    token, _, second, _ = make_following(clock)
    for _ in range(2):
        second.hear(token, AGENTS[0])
        second.hear_leaving(token, AGENTS[0])
    second.hear(token, AGENTS[0])
    assert second.is_vacant


PAIRS_OF_RANKS = ((0, 127), (0, 128), (1, 129), (0, 515))


@pytest.mark.parametrize(('low', 'high'), PAIRS_OF_RANKS)
def test_tokens_of_two_ranks_always_differ(low: int, high: int) -> None:
    """Two coordinators with one token, of which ranks refuse neither."""
    tokens: dict[int, set[int]] = {low: set(), high: set()}
    for rank, seen in tokens.items():
        clock = FakeClock()
        for _ in range(4):
            election = Election(AGENTS[0], clock)
            clock.advance(0.5)
            assert election.stand(AGENTS, rank)
            assert election.token is not None
            # Clocks of hosts differ by some milliseconds.
            seen.update(
                election.token + step * RANKS_MOST for step in range(-3, 4)
            )
    assert not tokens[low] & tokens[high]


def test_a_rank_without_a_number_of_its_own_does_not_stand() -> None:
    clock = FakeClock()
    election = Election(AGENTS[0], clock)
    clock.advance(0.5)
    assert not election.stand(AGENTS, NOBODY)


def test_agents_that_meet_late_stand_in_turn() -> None:
    """Nine coordinators within half a second, and no fault anywhere.

    Sequence: processes start, and learn of each other some seconds later.
    Cause: all had heard of no coordinator for longer than their turn.
    """
    clock = FakeClock()
    elections = make(clock)
    clock.advance(10)
    for one in elections:
        one.meet(AGENTS)
    stood = [one.stand(AGENTS, rank) for rank, one in enumerate(elections)]
    assert stood == [False, False, False]
    clock.advance(FIRST_SECONDS + TURN_SECONDS / 2)
    stood = [one.stand(AGENTS, rank) for rank, one in enumerate(elections)]
    assert stood == [True, False, False]


def test_hearsay_keeps_no_lost_coordinator_alive() -> None:
    """Two agents told each other for ever of a coordinator that was gone."""
    clock = FakeClock()
    first, second, third = make(clock)
    clock.advance(0.5)
    first.stand(AGENTS, 0)
    assert first.token is not None
    second.hear(first.token, AGENTS[0])
    third.hear(first.token, AGENTS[0], is_hearsay=True)
    assert second.is_in_touch()
    assert not third.is_in_touch()
    for _ in range(6):
        clock.advance(ASK_SECONDS / 2)
        second.hear(first.token, AGENTS[0], is_hearsay=True)
    assert not second.is_in_touch()
    assert second.stand(AGENTS, 1)
