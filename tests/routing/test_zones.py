"""Tests of backend selection by zone preference."""

from __future__ import annotations

from collections import Counter
from types import MappingProxyType

import pytest

from ospreyford.documents.intents import ZonePreference
from ospreyford.ports.fleet import Host
from ospreyford.routing.query import Choice
from ospreyford.routing.router import Router
from tests.routing.factories import make_host, make_query, make_router

CHOICES = 600
ZONES = 'abc'
#: Region of each availability zone; the entry is in zone a.
REGIONS = MappingProxyType({'a': 'mn', 'b': 'mn', 'c': 'et'})


def make_zoned_host(number: int) -> Host:
    """Make a backend, assigned to a zone in rotation."""
    zone = ZONES[number % len(ZONES)]
    return make_host(number, zone, region=REGIONS[zone])


HOSTS = tuple(make_zoned_host(number) for number in range(12))


def make_penalized_router(**sizes: int) -> Router:
    """Make a router with high zone and region penalties."""
    return make_router(zone_penalty=4, region_penalty=8, **sizes)


def send_load(router: Router, zones: str, load: int) -> None:
    """Send ``load`` requests to each backend of the given zones."""
    for host in HOSTS:
        for _ in range(load if host.zone in zones else 0):
            router.record_sent(host.name, 0)


def count_zones(
    router: Router, preference: ZonePreference, hosts: tuple[Host, ...] = HOSTS
) -> Counter[str]:
    """Choose repeatedly without sending, and count choices by zone."""
    zones: Counter[str] = Counter()
    query = make_query(zone_preference=preference)
    for _ in range(CHOICES):
        choice = router.choose(query, hosts, 0)
        assert isinstance(choice, Choice)
        zones[choice.host.zone] += 1
    return zones


@pytest.mark.parametrize(
    ('preference', 'zones'),
    [
        (ZonePreference.same_zone, {'a'}),
        (ZonePreference.same_region, {'a', 'b'}),
        (ZonePreference.anywhere, {'a', 'b', 'c'}),
    ],
)
def test_idle_backends_are_chosen_where_preferred(
    preference: ZonePreference, zones: set[str]
) -> None:
    counted = count_zones(make_penalized_router(), preference)
    assert set(counted) == zones
    # Choices are spread over the preferred zones.
    assert min(counted.values()) > CHOICES / len(zones) / 2


@pytest.mark.parametrize('preference', ZonePreference)
@pytest.mark.parametrize(
    ('busy', 'load', 'least'),
    [
        ('a', 32, 0.8),
        ('ab', 32, 0.4),
        ('ab', 64, 1),
    ],
)
def test_spills_over_for_every_preference(
    preference: ZonePreference, busy: str, load: int, least: float
) -> None:
    """Guards against refusing requests that another zone could serve."""
    router = make_penalized_router()
    count_zones(router, preference)
    send_load(router, busy, load)
    counted = count_zones(router, preference)
    taken = sum(counted[zone] for zone in busy)
    assert 1 - taken / CHOICES >= least


def test_intents_of_different_preferences_share_an_entry() -> None:
    """Guards against a cached subset shared by different preferences."""
    hosts = tuple(make_zoned_host(number) for number in range(90))
    router = make_penalized_router(local_size=16, spill_size=2)
    count_zones(router, ZonePreference.same_zone, hosts)
    counted = count_zones(router, ZonePreference.anywhere, hosts)
    assert min(counted[zone] for zone in ZONES) > CHOICES / 9


def test_anywhere_follows_backends_of_all_zones() -> None:
    """Guards against a subset limited to the entry's zone."""
    hosts = tuple(make_zoned_host(number) for number in range(90))
    router = make_penalized_router(local_size=16, spill_size=2)
    counted = count_zones(router, ZonePreference.anywhere, hosts)
    assert min(counted[zone] for zone in ZONES) > CHOICES / 9
