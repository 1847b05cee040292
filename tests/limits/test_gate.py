from __future__ import annotations

import pytest

from ospreyford.limits.gate import FullShare, LimitGate
from ospreyford.limits.limit import (
    Admitted,
    ConcurrencyExceeded,
    Limit,
    Refused,
    RequestRateExceeded,
    TokenRateExceeded,
)
from ospreyford.limits.settings import GateSettings


class FixedShare(FullShare):
    def __init__(self, part: float) -> None:
        self.part = part

    def get_fraction(self, customer: str, now: float) -> float:
        return self.part


def make_gate(share: float = 1) -> LimitGate:
    return LimitGate(GateSettings(), FixedShare(share))


@pytest.mark.parametrize(
    ('limit', 'share', 'tokens', 'admitted', 'refusal'),
    [
        (Limit(), 1, 1e9, 100, None),
        (Limit(requests=4), 1, 1, 4, Refused(RequestRateExceeded(4), 0.25)),
        (Limit(requests=4), 0.5, 1, 2, Refused(RequestRateExceeded(2), 0.5)),
        (
            Limit(requests=4, burst=10),
            1,
            1,
            10,
            Refused(RequestRateExceeded(4), 0.25),
        ),
        (
            Limit(requests=4, burst=10),
            0.5,
            1,
            5,
            Refused(RequestRateExceeded(2), 0.5),
        ),
        (
            Limit(requests=4, burst=1),
            0.5,
            1,
            1,
            Refused(RequestRateExceeded(2), 0.5),
        ),
        (
            Limit(requests=0, burst=9),
            1,
            1,
            0,
            Refused(RequestRateExceeded(0), 60),
        ),
        (Limit(requests=0), 1, 1, 0, Refused(RequestRateExceeded(0), 60)),
        (Limit(tokens=100), 1, 50, 2, Refused(TokenRateExceeded(100), 0.5)),
        (Limit(tokens=100), 1, 400, 1, Refused(TokenRateExceeded(100), 4)),
        (Limit(concurrency=3), 1, 1, 3, Refused(ConcurrencyExceeded(3), 1)),
        (Limit(concurrency=3), 0.1, 1, 1, Refused(ConcurrencyExceeded(1), 1)),
    ],
)
def test_admits_up_to_the_limit(
    limit: Limit,
    share: float,
    tokens: float,
    admitted: int,
    refusal: Refused | None,
) -> None:
    gate = make_gate(share)
    for _ in range(admitted):
        assert gate.admit('c', limit, tokens, 0) == Admitted()
    if refusal:
        assert gate.admit('c', limit, tokens, 0) == refusal


def test_retry_after_the_given_wait_is_admitted() -> None:
    gate = make_gate()
    limit = Limit(requests=4, tokens=100)
    now = 0.0
    for _ in range(20):
        answer = gate.admit('c', limit, 70, now)
        if isinstance(answer, Refused):
            now += answer.retry_after + 1e-9
            answer = gate.admit('c', limit, 70, now)
            if isinstance(answer, Refused):
                now += answer.retry_after + 1e-9
                answer = gate.admit('c', limit, 70, now)
        assert answer == Admitted()
        gate.release('c', 70, 70, now)


def test_release_settles_the_difference() -> None:
    gate = make_gate()
    limit = Limit(tokens=100)
    gate.admit('c', limit, 60, 0)
    gate.release('c', 60, 110, 0)
    answer = gate.admit('c', limit, 50, 0)
    assert isinstance(answer, Refused)
    assert answer.retry_after == pytest.approx(0.6)
