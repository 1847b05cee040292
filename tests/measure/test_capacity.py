from __future__ import annotations

from random import Random

import pytest

from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.resolver import Resolver
from ospreyford.entry.directory import FleetDirectory
from ospreyford.measure.capacity_parts import (
    fill_spans,
    hold_documents,
    list_plans,
    route,
)
from ospreyford.measure.capacity_records import make_bare, make_executions
from ospreyford.measure.capacity_samples import decode_fleet, encode_fleet
from ospreyford.measure.capacity_size import PROCESSES
from ospreyford.measure.capacity_state import ME
from ospreyford.routing.router import Router
from ospreyford.routing.settings import RoutingSettings

PLANS = 40


@pytest.mark.parametrize('bare', [True, False])
def test_sweep_forgets_nothing(bare: bool) -> None:
    """A sweep was measured as costing nothing.

    Symptom: 20,000 executions swept in 0.04 ms. Sequence: the samples began
    at the clock's zero; the first sweep forgot them all; the others found an
    empty record. Cause: samples older than they are kept.
    """
    memory = make_bare(3) if bare else make_executions(3, (2, 1), whole=True)
    memory.sweep()
    assert len(memory) == 3


def test_samples_have_the_size_to_design_for() -> None:
    hosts = decode_fleet(encode_fleet())
    assert len({host.name for host in hosts}) == PROCESSES
    assert fill_spans()[0] == 2048


def test_plans_lead_to_back_ends() -> None:
    resolver = Resolver()
    resolver.record(DocumentEntry(*each) for each in hold_documents())
    directory = FleetDirectory()
    directory.handle_hosts(decode_fleet(encode_fleet()))
    directory.handle_picture(resolver.snapshot)
    plans = list_plans(directory, PLANS)
    assert len(plans) == PLANS
    router = Router(RoutingSettings(), ME, Random(1))
    assert route(router, plans, PLANS) > 1
