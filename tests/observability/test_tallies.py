from __future__ import annotations

from dataclasses import dataclass

from prometheus_client import CollectorRegistry, generate_latest

from ospreyford.observability.tallies import serve_tally


@dataclass
class Caller:
    calls: int = 0


def test_a_tally_is_served_as_it_is_when_asked() -> None:
    registry = CollectorRegistry()
    caller = Caller()
    serve_tally(registry, 'calls_made', 'Calls.', caller, 'calls')
    caller.calls = 7
    assert b'\ncalls_made 7.0' in generate_latest(registry)
