"""What an entry takes for a fresh backend."""

from __future__ import annotations

from ospreyford.routing.registry import BackendRegistry
from ospreyford.routing.settings import RoutingSettings
from tests.routing.factories import make_host


def test_first_look_at_a_service_finds_nobody_fresh() -> None:
    """An entry that starts knows nothing of its backends' age.

    Symptom: requests to an idle engine are refused as overloaded for 20 s
    after an entry's start.
    Sequence: the entry serves another service first; then the first request
    to the engine's service comes.
    Cause: whoever is met after the entry's very first backend counts as
    fresh.
    """
    registry = BackendRegistry(RoutingSettings(slow_start_seconds=20))
    registry.get_or_create(make_host(1)._replace(service='quotation'), 0)
    engine = registry.get_or_create(make_host(2), 5)
    assert engine.compute_slow_start_share(5) == 1


def test_later_backend_of_a_known_service_is_fresh() -> None:
    registry = BackendRegistry(RoutingSettings(slow_start_seconds=20))
    registry.get_or_create(make_host(1), 0)
    later = registry.get_or_create(make_host(2), 5)
    assert later.compute_slow_start_share(5) < 1
