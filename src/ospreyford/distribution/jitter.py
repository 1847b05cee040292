"""Jitter of intervals, to desynchronize processes."""

from __future__ import annotations

from random import Random

MIN_JITTER_FACTOR = 0.75
MAX_JITTER_FACTOR = 1.25


def add_jitter(rng: Random, seconds: float) -> float:
    """Vary an interval by up to a quarter in either direction.

    :param rng: source of randomness.
    :param seconds: the mean.
    :returns: seconds.
    """
    return seconds * rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
