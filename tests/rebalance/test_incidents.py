"""Refused orders and fenced terms, as counted and logged."""

from __future__ import annotations

import pytest

from ospreyford.observability.levels import find_level
from ospreyford.rebalance.decisions import OrderRefused, TermFenced
from ospreyford.rebalance.group import (
    Arm,
    Armed,
    Disarm,
    Done,
    Fenced,
    Go,
    Hold,
    Order,
    Outcome,
    Prepare,
    RankState,
    Rejected,
)
from ospreyford.rebalance.incidents import GroupIncidents, find_cause
from ospreyford.rebalance.metrics import AgentMetrics
from tests.direct.backends import RecordingLog
from tests.rebalance.test_ranks import STEP, TERM, make_state

IDLE = make_state()
ARMED = IDLE._replace(prepared=9, armed=Armed(9, STEP))
MAP = (((0,), (1,)),)


@pytest.mark.parametrize(
    ('order', 'state', 'cause'),
    [
        (Go(STEP), IDLE._replace(epoch=7), 'other epoch'),
        (Hold(STEP), IDLE._replace(step=STEP), 'pass has begun'),
        (Arm(9, STEP), IDLE._replace(step=STEP), 'pass has begun'),
        (Hold(STEP), IDLE._replace(held=STEP + 1), 'holds another pass'),
        (Arm(9, STEP), IDLE, 'map is not prepared'),
        (Arm(9, STEP), IDLE._replace(prepared=8), 'another map is prepared'),
        (Prepare(10, MAP), ARMED, 'armed for another map'),
        (Disarm(3), IDLE, 'other state'),
    ],
)
def test_refusal_has_a_cause(
    order: Order, state: RankState, cause: str
) -> None:
    assert find_cause(order, state, TERM) == cause


def test_incidents_are_warnings_and_counted() -> None:
    log, metrics = RecordingLog(), AgentMetrics()
    incidents = GroupIncidents('g', metrics, log)  # type: ignore[arg-type]
    late = Rejected(IDLE._replace(step=STEP))
    given: tuple[tuple[Order, Outcome], ...] = (
        (Hold(STEP), Done(IDLE)),
        # Another pass is held then, as on any day.
        (Hold(STEP), late),
        (Arm(9, STEP), Rejected(IDLE)),
        (Arm(9, STEP), Fenced()),
    )
    for order, outcome in given:
        incidents.record_outcome(1, order, TERM, outcome)
    incidents.record_fenced_term(TERM.token)
    refused, fenced = log.events
    assert isinstance(refused, OrderRefused)
    assert fenced == TermFenced('g', TERM.token, 1, 'Arm')
    assert [find_level(one) for one in log.events] == ['warning', 'warning']
    rendered = metrics.render().decode()
    assert 'ospreyford_terms_fenced_total 1.0' in rendered
    assert 'cause="pass has begun",order="Hold"} 1.0' in rendered
    assert 'cause="map is not prepared",order="Arm"} 1.0' in rendered
