"""Bounds of a limited backend under mishaps of entries and agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from ospreyford.sendgrants.bounds import compute_cold_rate
from ospreyford.sendgrants.ledger import GrantOffice
from ospreyford.sendgrants.messages import SendingGrant, SendingRequest
from tests.direct.grantfleet import GrantFleet, Load

if TYPE_CHECKING:
    from collections.abc import Callable


#: The platform's bounds on a cold backend and on one that declares a limit.
OVERAGE = 1.5
SLACK = 5
LIMIT_WINDOW_SECONDS = 4.0
LOAD_SECONDS = 20.0
LOSS = 0.05
RATES = (0.0, 0.5, 1.0, 4.0, 28.0, 200.0)


def restart_entries(fleet: GrantFleet) -> None:
    for number in range(0, fleet.load.entries, 2):
        fleet.restart_entry(number)


def freeze_entries(fleet: GrantFleet) -> None:
    for entry in fleet.entries[::2]:
        entry.frozen_until = fleet.now + fleet.random.uniform(0.1, 3)


def restart_arbiter(fleet: GrantFleet) -> None:
    fleet.restart_agent(fleet.find_arbiter())


def freeze_arbiter(fleet: GrantFleet) -> None:
    fleet.frozen[fleet.find_arbiter()] = fleet.now + 2.5


def lose_arbiters_in_turn(fleet: GrantFleet) -> None:
    """All entries lose the agent that each of them asks now."""
    for entry in fleet.entries:
        entry.cut_from = {fleet.find_arbiter()}


def cut_half(fleet: GrantFleet) -> None:
    """Half of the entries ask another agent than the rest."""
    first = fleet.find_arbiter()
    for entry in fleet.entries[::2]:
        entry.cut_from = {first}


def know_other_agents(fleet: GrantFleet) -> None:
    first = fleet.find_arbiter()
    for entry in fleet.entries[::2]:
        entry.book.arbiters.update(fleet.agents - {first})


def suffer_nothing(_fleet: GrantFleet) -> None:
    """Nothing befalls anyone."""


MISHAPS = (
    suffer_nothing,
    restart_entries,
    freeze_entries,
    restart_arbiter,
    freeze_arbiter,
    lose_arbiters_in_turn,
    cut_half,
    know_other_agents,
)


def replay(load: Load, mishap: Callable[[GrantFleet], None]) -> GrantFleet:
    fleet = GrantFleet(load)
    fleet.run(LOAD_SECONDS, lambda: mishap(fleet))
    return fleet


@pytest.mark.parametrize('mishap', MISHAPS)
@pytest.mark.parametrize('rate', RATES)
@pytest.mark.parametrize('entries', [1, 2, 14, 35])
def test_no_second_holds_more_than_a_cold_backend_takes(
    entries: int, rate: float, mishap: Callable[[GrantFleet], None]
) -> None:
    """Whatever befalls entries and agents, the sum stays within the bound."""
    # Entries that disagree about the agents lose no messages besides.
    loss = 0 if mishap is know_other_agents else LOSS
    fleet = replay(Load(entries, rate, entries, loss=loss), mishap)
    assert fleet.count_worst(1) <= OVERAGE * rate + SLACK
    allowed = OVERAGE * rate * LIMIT_WINDOW_SECONDS + SLACK
    assert fleet.count_worst(LIMIT_WINDOW_SECONDS) <= allowed


@pytest.mark.parametrize('busy', [1, 14])
@pytest.mark.parametrize('rate', [1.0, 2.0, 3.0, 4.0, 10.0, 28.0, 200.0])
def test_callers_get_half_of_the_rate_wherever_they_are(
    rate: float, busy: int
) -> None:
    """Shares of entries without callers must not lapse."""
    fleet = replay(Load(14, rate, busy), suffer_nothing)
    assert len(fleet.sent) >= rate * LOAD_SECONDS / 2


def test_a_lost_arbiter_is_replaced() -> None:
    """Until it is no longer registered, the next one grants a part."""
    fleet = GrantFleet(Load(5, 28, 5))
    lost = fleet.find_arbiter()
    fleet.frozen[lost] = fleet.now + 1000
    fleet.run(LOAD_SECONDS)
    assert len(fleet.sent) >= 28 * LOAD_SECONDS / 4
    for entry in fleet.entries:
        entry.book.arbiters.update(fleet.agents - {lost})
    fleet.sent.clear()
    fleet.run(LOAD_SECONDS)
    assert len(fleet.sent) >= 28 * LOAD_SECONDS / 2


BOUNDS = (
    (28, 1.5, 5, 28),
    (28, 1, 5, 20),
    (2, 1.5, 0, 0),
    (10, 1.5, 0, 8),
    (0.5, 3, 5, 0.5),
)


@pytest.mark.parametrize(('rate', 'overage', 'slack', 'expected'), BOUNDS)
def test_tighter_bounds_lower_the_rate(
    rate: float, overage: float, slack: float, expected: float
) -> None:
    assert compute_cold_rate(rate, overage, slack) == expected


def ask(office: GrantOffice, now: float, count: int = 9) -> int:
    request = SendingRequest(1, 'b/1', 4, count)
    return office.grant(request, now).sendings


def test_a_restarted_agent_waits() -> None:
    """What it granted before its restart may be in use still."""
    office = GrantOffice(100)
    assert ask(office, 101.2) == 0
    assert ask(office, 101.3) == 3


def test_grants_are_remembered_beside_other_backends() -> None:
    """A backend that is asked about for the first time is not forgotten."""
    office = GrantOffice(0)
    assert ask(office, 100) == 3
    assert ask(office, 100.1) == 0
    office.grant(SendingRequest(2, 'c/1', 4, 1), 200)
    assert len(office) == 1


def test_an_entry_that_knows_a_lower_rate_sets_it() -> None:
    """Others may not have heard of it yet."""
    office = GrantOffice(0)
    office.grant(SendingRequest(1, 'b/1', 1, 1), 100)
    assert office.grant(SendingRequest(2, 'b/1', 100, 50), 100.5).sendings == 0
    assert office.grant(SendingRequest(3, 'b/1', 100, 50), 102.5).sendings == 50


def test_a_late_or_repeated_grant_is_not_used() -> None:
    """A frozen entry must not send what was granted before."""
    fleet = GrantFleet(Load(1, 28, 1))
    book = fleet.entries[0].book
    book.join('b/1', 3)
    question = book.ask('b/1', 28, 100)
    assert question is not None
    grant = SendingGrant(question.message.number, 3)
    assert book.record_grant(grant, ('10.9.9.9', 7), 100.05) is None
    assert book.record_grant(grant, question.agent, 100.05) == 'b/1'
    assert book.record_grant(grant, question.agent, 100.05) is None
    assert book.take('b/1', 100.1) == pytest.approx(100.2)
    assert not book.holds('b/1', 100.21)
