"""Tests of which backends get a slow start."""

from __future__ import annotations

from ospreyford.routing.registry import BackendRegistry
from ospreyford.routing.settings import RoutingSettings
from tests.routing.factories import make_host


def test_first_backends_of_a_service_skip_slow_start() -> None:
    """Guards against slow start for backends that predate the entry."""
    registry = BackendRegistry(RoutingSettings(slow_start_seconds=20))
    registry.get_or_create(make_host(1)._replace(service='quotation'), 0)
    engine = registry.get_or_create(make_host(2), 5)
    assert engine.compute_slow_start_share(5) == 1


def test_later_backend_of_a_known_service_starts_slowly() -> None:
    registry = BackendRegistry(RoutingSettings(slow_start_seconds=20))
    registry.get_or_create(make_host(1), 0)
    later = registry.get_or_create(make_host(2), 5)
    assert later.compute_slow_start_share(5) < 1
