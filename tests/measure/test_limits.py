from __future__ import annotations

import pytest

from ospreyford.measure.limits import Trial, list_trials, play
from ospreyford.measure.limits_scale import WATCHED, play_scale

#: The limit, and what the buckets of three entries saved up.
MOST = 1.1


@pytest.mark.parametrize('trial', list(list_trials()))
def test_no_fault_admits_more_than_the_limit(trial: Trial) -> None:
    _, least, most, _ = play(trial)
    assert least >= 0
    assert most <= 1 + 1e-9


def test_scale_is_the_same_on_every_run() -> None:
    rows = play_scale(3, 'partition')
    assert rows == play_scale(3, 'partition')
    assert [(row.limit, row.sent) for row in rows] == list(WATCHED)
    # Once the first burst is over, a large customer gets no more than its
    # limit and what its buckets saved up.
    assert all(row.later <= MOST for row in rows if row.limit >= 100)
