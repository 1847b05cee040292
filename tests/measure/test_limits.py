from __future__ import annotations

import pytest

from ospreyford.measure.limits import Trial, list_trials, play


@pytest.mark.parametrize('trial', list(list_trials()))
def test_no_fault_admits_more_than_the_limit(trial: Trial) -> None:
    _, least, most, _ = play(trial)
    assert least >= 0
    assert most <= 1 + 1e-9
