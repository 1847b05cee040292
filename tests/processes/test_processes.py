"""Faults of processes, links and the platform, over the real processes.

Symptom looked for: a caller gets a part of an answer as the whole, somebody
else's answer or "not run" for what ran; a non-idempotent request runs twice; a
planned stop cuts; a draining back end gets new work; a configuration reverts.
Sequence: requests of each kind are sent through two entries; a process is
killed, paused or stopped, a link goes silent or the platform goes down; callers
retry with their keys through a third entry while the first sending still runs,
and again after everything is back.
Cause: any guard of the request path left out. The rest runs in ``make faults``.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.processes.deployment import Deployment
from tests.processes.faults import QUICK, Fault
from tests.processes.rounds import run_round
from tests.processes.scenarios import QUICK_SCENARIOS, Scenario


@pytest.fixture(scope='module')
def rig() -> Iterator[Deployment]:
    with Deployment() as started:
        yield started


@pytest.mark.parametrize('fault', QUICK, ids=lambda fault: fault.name)
def test_promises_hold_in_a_wave(rig: Deployment, fault: Fault) -> None:
    verdicts = run_round(rig, fault)
    assert [broken for each in verdicts for broken in each.broken] == []
    # A system that answers nothing would break no promise either.
    for verdict in verdicts:
        assert verdict.outcomes['answered']


@pytest.mark.parametrize(
    'scenario', QUICK_SCENARIOS, ids=lambda scenario: scenario.__name__
)
def test_promises_hold_under_load(rig: Deployment, scenario: Scenario) -> None:
    assert scenario(rig).broken == []
