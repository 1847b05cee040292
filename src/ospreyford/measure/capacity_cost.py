"""Processor time of one piece of work, and how it is taken."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

MICROSECONDS = 1e6
PERCENT = 100
REPEATS = 5


class Cost(NamedTuple):
    """Processor time of one piece of work.

    ``microseconds`` is for one go, ``rate`` the goes a second at the size to
    design for.
    """

    role: str
    name: str
    microseconds: float
    rate: float

    @property
    def percent(self) -> float:
        """Percent of a core."""
        return self.microseconds * self.rate / MICROSECONDS * PERCENT


def spend(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Time some work.

    :param work: the work.
    :param repeats: how often it is done; the least time counts.
    :returns: microseconds of processor time.
    """
    times: list[float] = []
    for _ in range(repeats):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return min(times) * MICROSECONDS
