from __future__ import annotations

import pytest

from ospreyford.documents.resolver import resolve_snapshot
from ospreyford.documents.routes import (
    NoMatchingIntent,
    NoRoute,
    Reason,
    Route,
    UnknownCustomer,
    UnknownService,
)
from tests.documents.samples import base_entries, make_host


def test_route_names_pools_and_winning_document() -> None:
    route = resolve_snapshot(base_entries()).route('soum-clerks', 'drafting')
    assert isinstance(route, Route)
    assert route.pools == ('drafting-main',)
    assert route.document == 'doc-4'


@pytest.mark.parametrize(
    ('customer', 'service', 'reason'),
    [
        ('nobody', 'drafting', UnknownCustomer('nobody')),
        ('soum-clerks', 'weather', UnknownService('weather')),
        ('soum-clerks', 'quotation', NoMatchingIntent('quotation')),
    ],
)
def test_no_route_says_why(customer: str, service: str, reason: Reason) -> None:
    snapshot = resolve_snapshot(base_entries())
    assert snapshot.route(customer, service) == NoRoute(reason)


def test_members_and_drains_follow_labels() -> None:
    snapshot = resolve_snapshot(base_entries())
    chosen = make_host('a', accelerator='large')
    drained = make_host('b', accelerator='large', rack='r7')
    other = make_host('c', accelerator='small')
    hosts = (chosen, drained, other)
    assert snapshot.members('drafting-main', hosts) == (chosen, drained)
    assert snapshot.drain_of(chosen) is None
    assert snapshot.drain_of(drained) is not None
