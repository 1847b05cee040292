"""Budgets for extra attempts."""

from __future__ import annotations


class AttemptBudget:
    """Lets extra attempts be at most a ratio of the first attempts.

    Without it, a back end that fails makes each entry send more than the
    callers asked for, and the retries keep the overload up after its cause
    is gone; one would see attempts grow while answers fall.

    :param ratio: extra attempts earned by one first attempt.
    :param burst: extra attempts saved up at most, and held at the start.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._saved = burst

    def allows(self) -> bool:
        """Tell whether an extra attempt may be sent.

        :returns: whether a whole one is saved.
        """
        return self._saved >= 1

    def earn(self) -> None:
        """Count one first attempt."""
        self._saved = min(self._burst, self._saved + self._ratio)

    def spend(self) -> bool:
        """Take one extra attempt.

        :returns: whether it was there to take.
        """
        if not self.allows():
            return False
        self._saved -= 1
        return True
