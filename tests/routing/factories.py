"""Factories of hosts, queries and routers for tests."""

from __future__ import annotations

from random import Random
from typing import Any

from ospreyford.ports.fleet import Host
from ospreyford.routing.query import Identity, RoutingQuery
from ospreyford.routing.router import Router
from ospreyford.routing.settings import RoutingSettings

IDENTITY = Identity('entry-1', 'a', 'mn')


def make_host(number: int, zone: str = 'a', **fields: Any) -> Host:
    """Make a backend of the drafting service."""
    name = f'backend-{number}'
    return Host(
        name=name,
        instance=fields.pop('instance', f'i-{number}'),
        role='backend',
        zone=zone,
        region=fields.pop('region', 'mn'),
        service='drafting',
        data_address='127.0.0.1:1',
        peer_address='127.0.0.1:2',
        **fields,
    )


def make_hosts(count: int, zones: str = 'abc') -> tuple[Host, ...]:
    """Make backends spread over zones."""
    return tuple(
        make_host(number, zones[number % len(zones)]) for number in range(count)
    )


def make_query(**fields: Any) -> RoutingQuery:
    """Make a query for the drafting service."""
    defaults: dict[str, Any] = {
        'service': 'drafting',
        'customer': 'c',
        'deadline': 1e9,
    }
    return RoutingQuery(**(defaults | fields))


def make_router(seed: int = 1, **fields: Any) -> Router:
    """Make a seeded router."""
    return Router(RoutingSettings(**fields), IDENTITY, Random(seed))
