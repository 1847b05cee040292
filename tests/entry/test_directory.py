"""Tests of plans resolved from documents and the host list."""

from __future__ import annotations

from types import MappingProxyType
from typing import Any

import pytest

from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.resolver import resolve_snapshot
from ospreyford.entry.directory import MAX_PLANS, FleetDirectory
from ospreyford.entry.homes import Home
from ospreyford.entry.outcome import Cause, NotRun
from ospreyford.ports.fleet import Host, HostState
from tests.documents.test_examples import EXAMPLES, make_hosts

SITE = 'caterer'
ROUTE = ('bakery', 'order-assistant')


def make_directory(**changed: str) -> FleetDirectory:
    """Make a directory from the example documents, some of them changed."""
    texts = {
        path.stem: path.read_text()
        for path in (EXAMPLES / SITE / 'documents').glob('*.toml')
    }
    named = {name.replace('_', '-'): text for name, text in changed.items()}
    directory = FleetDirectory()
    directory.handle_picture(
        resolve_snapshot(
            DocumentEntry(name, 1, text.encode())
            for name, text in (texts | named).items()
        )
    )
    directory.handle_hosts(tuple(make_hosts(SITE)))
    return directory


def list_hosts(directory: FleetDirectory, *asked: str) -> list[str]:
    plan = directory.find_plan(*(asked or ROUTE))
    assert not isinstance(plan, NotRun)
    return [host.name for pool in plan.pools for host in pool]


def replace_host(host: Host, **changes: Any) -> tuple[Host, ...]:
    others = (each for each in make_hosts(SITE) if each.name != host.name)
    return (host._replace(**changes), *others)


FIRST = make_hosts(SITE)[0]
CHANGES: MappingProxyType[str, Any] = MappingProxyType(
    {
        'host list': lambda directory: directory.handle_hosts(
            replace_host(FIRST, state=HostState.leaving)
        ),
        'gone': lambda directory: directory.handle_hosts(
            tuple(make_hosts(SITE)[1:])
        ),
        'drain request': lambda directory: directory.handle_hosts(
            replace_host(FIRST, labels={**FIRST.labels, 'maintenance': 'disk'})
        ),
        'agent': lambda directory: directory.handle_withdrawn(
            frozenset((FIRST.name,))
        ),
    }
)


@pytest.mark.parametrize('change', CHANGES.values(), ids=CHANGES)
def test_leaving_host_gets_no_new_work(change: Any) -> None:
    """Cached plans must not keep hosts that are leaving."""
    directory = make_directory()
    assert FIRST.name in list_hosts(directory)
    change(directory)
    assert FIRST.name not in list_hosts(directory)
    assert len(list_hosts(directory)) == 11
    directory.handle_withdrawn(frozenset())
    directory.handle_hosts(tuple(make_hosts(SITE)))
    assert FIRST.name in list_hosts(directory)


def test_new_picture_clears_cached_plans() -> None:
    directory = make_directory()
    assert len(list_hosts(directory)) == 12
    changed = make_directory(pool_order_assistant='x').picture
    assert changed is not None
    directory.handle_picture(changed)
    plan = directory.find_plan(*ROUTE)
    assert isinstance(plan, NotRun)
    assert plan.cause is Cause.no_route


@pytest.mark.parametrize(
    ('asked', 'cause'),
    [
        (('nobody', 'order-desk'), Cause.unknown_customer),
        (('bakery', 'nothing'), Cause.unknown_service),
    ],
)
def test_unknown_names_are_refused(asked: Any, cause: Cause) -> None:
    plan = make_directory().find_plan(*asked)
    assert isinstance(plan, NotRun)
    assert plan.cause is cause


def test_plan_is_refused_before_documents_and_hosts() -> None:
    directory = make_directory()
    for fresh in (FleetDirectory(), FleetDirectory()):
        assert fresh.find_plan(*ROUTE) == NotRun(Cause.not_ready, 1)
        fresh.picture = directory.picture
    directory.hosts = {}
    assert directory.find_plan(*ROUTE) == NotRun(Cause.not_ready, 1)


def test_cached_plans_are_bounded() -> None:
    directory = make_directory()
    for number in range(MAX_PLANS + 10):
        directory.find_plan(str(number), 'order-desk')
    assert len(directory._plans) <= MAX_PLANS


def test_plan_carries_limit_and_homes() -> None:
    plan: Any = make_directory().find_plan('bakery', 'order-desk')
    assert plan.limit.requests == 150
    assert plan.homes == tuple(
        Home(f'caterer-plain-{number}') for number in (1, 2, 3)
    )


@pytest.mark.parametrize(
    ('service', 'method', 'target', 'repeatable'),
    [
        ('order-desk', 'GET', '/orders', True),
        ('order-desk', 'POST', '/orders', False),
        ('order-desk', 'POST', '/orders?again=1', False),
        ('order-desk', 'POST', '/orders/', False),
        ('order-desk', 'POST', '//orders', False),
        ('order-desk', 'POST', '/x/../orders', False),
        ('order-desk', 'POST', '/%6frders', False),
        ('order-desk', 'post', '/orders', False),
        ('order-desk', 'POST', '/invoices/7', False),
        ('nothing', 'GET', '/', False),
    ],
)
def test_target_spelling_does_not_make_a_call_idempotent(
    service: str, method: str, target: str, repeatable: bool
) -> None:
    """Target spellings must not bypass the non-idempotent paths."""
    directory = make_directory()
    found = directory.is_idempotent(service, method, target)
    assert found is repeatable
