"""Random spread of times, so that processes do not act in step."""

from __future__ import annotations

from random import Random

MIN_JITTER_FACTOR = 0.75
MAX_JITTER_FACTOR = 1.25


def add_jitter(rng: Random, seconds: float) -> float:
    """Vary a time by a quarter to either side.

    :param rng: source of randomness.
    :param seconds: the mean time.
    :returns: seconds.
    """
    return seconds * rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
