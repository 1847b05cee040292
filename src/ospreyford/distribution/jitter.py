"""Random spread of times, so that processes do not act in step."""

from __future__ import annotations

from random import Random

LEAST = 0.75
MOST = 1.25


def spread(rng: Random, seconds: float) -> float:
    """Vary a time by a quarter to either side.

    :param rng: source of randomness.
    :param seconds: the mean time.
    :returns: seconds.
    """
    return seconds * rng.uniform(LEAST, MOST)
