"""Signs of cold backends, as an entry reads them."""

from __future__ import annotations

import time
from typing import NamedTuple

import pytest

from ospreyford.direct import coldbackends
from ospreyford.direct.catalog import Service
from ospreyford.direct.coldbackends import CLOCK_MARGIN_SECONDS, ColdBackends
from ospreyford.direct.colddecisions import (
    BackendCold,
    BackendWarm,
    ColdKnown,
    ColdUnknown,
    ColdUnreadable,
)
from ospreyford.direct.freshness import StateFreshness
from ospreyford.direct.registry import BackendRegistry, BackendServer
from ospreyford.direct.settings import Bounds
from tests.direct.backends import RecordingLog

SERVER = BackendServer('b', 's', '10.0.0.1', 80, 'a', 6, False, 1, 5_000_000)
RATE = 28.0
COLD_SECONDS = 3.0
SERVICE = Service('s', 9, None, COLD_SECONDS, RATE)


class Recorder:
    """Cold backends on a clock of their own, which starts at 5,000 s."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 5000.0
        monkeypatch.setattr(time, 'monotonic', lambda: self.now)
        monkeypatch.setattr(time, 'time', lambda: self.now)
        monkeypatch.setattr(coldbackends, 'read_boot_clock', lambda: self.now)
        monkeypatch.setattr(
            'ospreyford.direct.freshness.read_boot_clock', lambda: self.now
        )
        self.log = RecordingLog()
        self.cold = ColdBackends(self.log, b'x-cold')  # type: ignore[arg-type]
        self.cold.update_services({'s': SERVICE})
        self.known: BackendServer | None = None

    def register(self, server: BackendServer) -> None:
        self.cold.record_registration(server, self.known)
        self.known = server

    def tell(self, text: bytes, sent_before: float = 0) -> None:
        self.cold.record_response(
            self.known or SERVER, ((b'x-cold', text),), self.now - sent_before
        )

    def find_end(self) -> float:
        """Return for how long the backend is cold, to a tenth."""
        began = self.now
        while self.cold.get_rate(self.known or SERVER) is not None:
            self.now = round(self.now + 0.1, 3)
        return round(self.now - began, 1)


class Sign(NamedTuple):
    """What a registration tells, and for how long the backend is cold.

    ``age`` is the time since its start.
    """

    told: float | None
    age: float
    expected: float


SIGNS = (
    Sign(0, 0, 0),
    Sign(2, 0, 2),
    Sign(2, 100, 2),
    Sign(None, 0, COLD_SECONDS),
    Sign(None, 2, COLD_SECONDS - 2 + CLOCK_MARGIN_SECONDS),
    Sign(None, 100, 0),
    # Its host's clock is ahead.
    Sign(None, -50, COLD_SECONDS),
)


@pytest.mark.parametrize('sign', SIGNS)
def test_registrations_and_starts_are_signs(
    monkeypatch: pytest.MonkeyPatch, sign: Sign
) -> None:
    """A backend that does not tell may be cold since its start."""
    recorder = Recorder(monkeypatch)
    started_ms = int((recorder.now - sign.age) * 1000)
    recorder.register(
        SERVER._replace(cold_seconds=sign.told, started_ms=started_ms)
    )
    assert recorder.find_end() == pytest.approx(sign.expected, abs=0.11)


def test_a_registration_that_is_read_again_does_not_prolong_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Lists of all registrations are read anew after each outage."""
    recorder = Recorder(monkeypatch)
    recorder.register(SERVER._replace(cold_seconds=2))
    recorder.now += 1.5
    recorder.register(SERVER._replace(cold_seconds=2))
    assert recorder.find_end() == pytest.approx(0.5, abs=0.11)
    recorder.register(SERVER._replace(cold_seconds=2, revision=2))
    assert recorder.find_end() == pytest.approx(2, abs=0.11)


def test_a_restarted_backend_is_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A warm backend may start again under its id."""
    recorder = Recorder(monkeypatch)
    recorder.register(SERVER._replace(cold_seconds=0))
    assert not recorder.cold.has_any()
    recorder.register(SERVER._replace(started_ms=5_000_000 + 1))
    assert recorder.cold.has_any()
    assert recorder.find_end() == pytest.approx(COLD_SECONDS, abs=0.11)


def test_responses_tell_too(monkeypatch: pytest.MonkeyPatch) -> None:
    """A backend may become cold again; an overtaken response ends nothing."""
    recorder = Recorder(monkeypatch)
    recorder.register(SERVER._replace(cold_seconds=0))
    recorder.tell(b'0')
    assert not recorder.cold.has_any()
    recorder.tell(b'2000')
    recorder.tell(b'0', sent_before=0.5)
    recorder.tell(b'soon')
    assert recorder.cold.get_rate(SERVER) == RATE
    recorder.now += 0.5
    recorder.tell(b'0')
    assert recorder.cold.get_rate(SERVER) is None


def test_lines_at_start_and_end(monkeypatch: pytest.MonkeyPatch) -> None:
    recorder = Recorder(monkeypatch)
    recorder.register(SERVER._replace(cold_seconds=2))
    recorder.tell(b'soon')
    assert recorder.cold.cold_count == 1
    recorder.now += 3
    registry = BackendRegistry()
    registry.put(SERVER)
    recorder.cold.sweep(registry)
    assert recorder.log.events == [
        BackendCold('b', 's', 'registration', RATE, 2),
        ColdUnreadable('b', 'soon'),
        BackendWarm('b', 's'),
    ]
    assert not recorder.cold.has_any()


def test_an_old_view_leaves_backends_cold(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An entry that does not hear from the store misses the signs."""
    recorder = Recorder(monkeypatch)
    recorder.cold.freshness = StateFreshness(Bounds(2, 8, 4))
    assert recorder.cold.get_rate(SERVER) == RATE
    recorder.cold.sweep(BackendRegistry())
    recorder.cold.freshness.confirm(recorder.now)
    recorder.now += 2.9
    assert recorder.cold.get_rate(SERVER) is None
    recorder.cold.sweep(BackendRegistry())
    recorder.now += 0.2
    assert recorder.cold.get_rate(SERVER) == RATE
    assert recorder.cold.get_rate(SERVER._replace(service='t')) is None
    assert recorder.log.events == [ColdUnknown(-1), ColdKnown()]


def test_services_without_a_rate_have_no_cold_backends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    recorder = Recorder(monkeypatch)
    recorder.cold.update_services({'s': Service('s', 9, None)})
    recorder.register(SERVER._replace(cold_seconds=9))
    recorder.tell(b'900')
    assert not recorder.cold.has_any()
    assert recorder.cold.get_rate(SERVER) is None
