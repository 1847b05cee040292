"""Use of the shared retry budget, with counters and log lines."""

from __future__ import annotations

import time
from typing import Any

import pytest

from ospreyford.direct.entryshare import ASSUMED_ENTRIES
from ospreyford.direct.retries import RetryMeter
from ospreyford.direct.retrydecisions import (
    EntryCountChanged,
    RetryBudgetExhausted,
)
from ospreyford.direct.settings import RetrySettings
from tests.direct.backends import RecordingLog

SETTINGS = RetrySettings(ratio=0, slack=0, window=10, assumed_entries=8)


def test_an_exhausted_budget_is_logged_once_a_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    log: Any = RecordingLog()
    meter = RetryMeter(SETTINGS, log)
    for second in range(12):
        monkeypatch.setattr(time, 'monotonic', lambda now=second: now)
        assert not meter.spend('s')
    assert not meter.spend('other')
    events = log.find(RetryBudgetExhausted)
    assert [event.service for event in events] == ['s', 's', 'other']
    assert (meter.denied_count, meter.spent_count) == (13, 0)


def test_changes_of_the_number_of_entries_are_logged() -> None:
    log: Any = RecordingLog()
    meter = RetryMeter(SETTINGS, log)
    for second, entries in enumerate((3, 3, 3, 4, 3)):
        meter.record_entry_count(entries, second)
    # The first count is settled after 1.5 s.
    assert log.events == [
        EntryCountChanged(ASSUMED_ENTRIES),
        EntryCountChanged(3),
        EntryCountChanged(4),
    ]
