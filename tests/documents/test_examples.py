from __future__ import annotations

from pathlib import Path
from types import MappingProxyType

import pytest

from ospreyford.documents.checking import (
    CheckReport,
    CheckWarning,
    WarningKind,
    check_documents,
)
from ospreyford.documents.routes import Route
from ospreyford.documents.snapshot import ConfigurationSnapshot
from ospreyford.documents.subjects import is_non_idempotent
from ospreyford.ports.fleet import Host

EXAMPLES = Path(__file__).parents[2] / 'examples'
SITES = MappingProxyType(
    {
        'pension-office': ('ulaanbaatar', 'drafting', 'quotation'),
        'caterer': ('addis', 'order-assistant', 'order-desk'),
    }
)
ZONE_LETTERS = 'abc' * 4


def make_hosts(site: str) -> list[Host]:
    region, model, plain = SITES[site]
    models = [make_host(site, region, 'model', model, at) for at in range(12)]
    plains = [make_host(site, region, 'plain', plain, at) for at in range(3)]
    return [*models, *plains]


def make_host(
    site: str, region: str, kind: str, service: str, number: int
) -> Host:
    letter = ZONE_LETTERS[number]
    name = '-'.join((site, kind, str(number + 1)))
    return Host(
        name=name,
        instance=name,
        role='backend',
        zone=f'{region}-{letter}',
        region=region,
        service=service,
        data_address='',
        peer_address='',
        labels={'site': site, 'kind': kind},
    )


def check_site(site: str) -> CheckReport:
    paths = sorted((EXAMPLES / site / 'documents').glob('*.toml'))
    files = [(path.stem, path.read_bytes()) for path in paths]
    return check_documents(files, make_hosts(site))


@pytest.mark.parametrize('site', SITES)
def test_examples_are_accepted_and_reach_all_hosts(site: str) -> None:
    report = check_site(site)
    assert report.rejected == ()
    assert report.conflicts == ()
    # No host is in maintenance.
    assert report.warnings == (
        CheckWarning('drain-maintenance', WarningKind.selects_no_host),
    )
    _, model, plain = SITES[site]
    customers = list(report.snapshot.tables.customers.keys())
    assert len(customers) == 10
    for customer in customers:
        assert reach(report.snapshot, site, customer, model) == 12
        assert reach(report.snapshot, site, customer, plain) == 3
        assert report.snapshot.limit_of(customer) is not None


def reach(
    snapshot: ConfigurationSnapshot, site: str, customer: str, service: str
) -> int:
    route = snapshot.route(customer, service)
    assert isinstance(route, Route)
    members = {
        host.name
        for pool in route.pools
        for host in snapshot.members(pool, make_hosts(site))
    }
    return len(members)


@pytest.mark.parametrize(
    ('site', 'call'),
    [('pension-office', '/quotes'), ('caterer', '/invoices/7')],
)
def test_plain_services_name_their_homes(site: str, call: str) -> None:
    snapshot = check_site(site).snapshot
    plain = SITES[site][2]
    service = snapshot.service(plain)
    assert service is not None
    assert is_non_idempotent(service, 'POST', call)
    assert not is_non_idempotent(service, 'GET', call)
    assert snapshot.homes(plain).current == (
        f'{site}-plain-1',
        f'{site}-plain-2',
        f'{site}-plain-3',
    )


def test_office_weighs_skew_and_caterer_weighs_moves() -> None:
    office = check_site('pension-office').snapshot.placement('drafting')
    caterer = check_site('caterer').snapshot.placement('order-assistant')
    assert office is not None
    assert caterer is not None
    assert office.skew_weight > office.move_weight
    assert caterer.move_weight > caterer.skew_weight
