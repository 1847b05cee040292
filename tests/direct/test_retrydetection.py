"""Detection of retries by the remaining timeout."""

from __future__ import annotations

from random import Random

import pytest

from ospreyford.direct import retrydetection
from ospreyford.direct.admission import (
    QueuedRequest,
)
from ospreyford.direct.admissionqueue import AdmissionQueue
from ospreyford.direct.retrydetection import (
    MIN_CUSTOMER_REQUESTS,
    RetryDetector,
)


def test_retries_are_detected_by_a_new_entry() -> None:
    """Retries must be detected by an entry that has not seen the first try."""
    random = Random(5)
    memory = RetryDetector()
    right = 0
    for number in range(200):
        is_back = random.choices((True, False), (6, 4))[0]
        whole = 8.05 * (1 - 0.15 * random.random())
        spent = 1 + random.random() if is_back else 0
        detected = memory.record_request('r', 'c', whole - spent)
        right += number < 10 or detected is is_back
    assert right > 180


def test_first_tries_are_not_taken_for_retries() -> None:
    random = Random(6)
    memory = RetryDetector()
    for _ in range(500):
        whole = 8.05 * (1 - 0.15 * random.random())
        assert not memory.record_request('r', 'c', whole)


def test_a_customer_with_short_timeouts_has_its_own_baseline() -> None:
    """A customer with short timeouts must not be taken for retrying."""
    memory = RetryDetector()
    for _ in range(50):
        memory.record_request('r', 'patient', 8)
    detected = [memory.record_request('r', 'short', 4) for _ in range(50)]
    assert not any(detected[MIN_CUSTOMER_REQUESTS:])
    assert memory.record_request('r', 'short', 3)
    assert memory.record_request('r', 'patient', 4)


#: One request in so many has a longer timeout, in seconds.
OUTLIERS = ((5000, 3600.0), (500, 60.0), (100, 30.0))


@pytest.mark.parametrize(('every', 'seconds'), OUTLIERS)
def test_outliers_do_not_change_the_typical_timeout(
    every: int, seconds: float
) -> None:
    """Single long timeouts must not change the typical one."""
    memory = RetryDetector()
    detected = 0
    for number in range(5000):
        if number % every == every // 2:
            memory.record_request('r', '', seconds)
        detected += memory.record_request('r', '', 8)
    assert detected < 50


def test_old_timeouts_are_forgotten() -> None:
    memory = RetryDetector()
    memory.record_request('r', 'c', 60)
    detected = [memory.record_request('r', 'c', 8) for _ in range(2000)]
    assert detected[1]
    assert not detected[-1]


def test_memory_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(retrydetection, 'MAX_TRACKED_PAIRS', 10)
    memory = RetryDetector()
    for number in range(100):
        memory.record_request('r', f'c{number}', 8)
    assert memory.count_pairs() <= 10


def test_retries_go_behind_first_tries() -> None:
    queue = AdmissionQueue()
    back = QueuedRequest(1, 10, 0.4, 17, 1, is_retry=True)
    new = QueuedRequest(2, 10.1, 0.4, 18, 1)
    queue.add(back)
    queue.add(new)
    assert queue.select_next(10.1, 0.1) == new
    queue.remove(2)
    assert queue.select_next(10.1, 0.1) == back
