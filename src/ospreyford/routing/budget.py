"""Budgets for extra attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.routing.settings import BudgetSettings

#: Routing intents whose budgets are kept; the oldest is dropped beyond this.
MAX_INTENTS = 1024


class Allowance(NamedTuple):
    """Extra attempts that a routing intent allows.

    :param intent: name of the intent's document.
    :param retry_ratio: retries earned by one first attempt of the intent.
    :param hedge_ratio: hedges earned by one first attempt of the intent.
    """

    intent: str
    retry_ratio: float
    hedge_ratio: float


class AttemptBudget:
    """Lets extra attempts be at most a ratio of the first attempts.

    Without it, a backend that fails makes each entry send more than the
    callers asked for, and the retries keep the overload up after its cause
    is gone; one would see attempts grow while answers fall.

    :param ratio: extra attempts earned by one first attempt.
    :param burst: extra attempts saved up at most, and held at the start.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self.ratio = ratio
        self._burst = burst
        self._balance = burst

    def allows(self) -> bool:
        """Tell whether an extra attempt may be sent.

        :returns: whether a whole one is saved; never with a ratio of 0, which
            allows none, not even those held at the start.
        """
        return self.ratio > 0 and self._balance >= 1

    def earn(self) -> None:
        """Count one first attempt."""
        self._balance = min(self._burst, self._balance + self.ratio)

    def spend(self) -> bool:
        """Take one extra attempt.

        :returns: whether it was there to take.
        """
        if not self.allows():
            return False
        self._balance -= 1
        return True


class IntentBudgets:
    """Retries and hedges of each routing intent at this entry.

    One budget for all would let the intent of one team use up what another
    one was promised.

    :param settings: the burst of each budget.
    """

    def __init__(self, settings: BudgetSettings) -> None:
        self._settings = settings
        self._retry_budgets: dict[str, AttemptBudget] = {}
        self._hedge_budgets: dict[str, AttemptBudget] = {}

    def get_retry_budget(self, allowance: Allowance) -> AttemptBudget:
        """Find an intent's budget of retries.

        :param allowance: the intent and its ratios now.
        :returns: its budget.
        """
        return self._get_budget(
            self._retry_budgets, allowance.intent, allowance.retry_ratio
        )

    def get_hedge_budget(self, allowance: Allowance) -> AttemptBudget:
        """Find an intent's budget of hedges.

        :param allowance: the intent and its ratios now.
        :returns: its budget.
        """
        return self._get_budget(
            self._hedge_budgets, allowance.intent, allowance.hedge_ratio
        )

    def earn(self, allowance: Allowance) -> None:
        """Count one first attempt.

        :param allowance: the intent and its ratios now.
        """
        self.get_retry_budget(allowance).earn()
        self.get_hedge_budget(allowance).earn()

    def _get_budget(
        self, budgets: dict[str, AttemptBudget], intent: str, ratio: float
    ) -> AttemptBudget:
        budget = budgets.get(intent)
        if budget is None:
            if len(budgets) >= MAX_INTENTS:
                budgets.pop(next(iter(budgets)))
            budget = AttemptBudget(ratio, self._settings.burst)
            budgets[intent] = budget
        # A changed document keeps what is saved: a fresh budget at each
        # change would hold a full burst again.
        budget.ratio = ratio
        return budget


def spend_all(budgets: Sequence[AttemptBudget]) -> bool:
    """Take one extra attempt out of each budget, or out of none.

    :param budgets: all that must allow it.
    :returns: whether it was there to take.
    """
    if not all(budget.allows() for budget in budgets):
        return False
    for budget in budgets:
        budget.spend()
    return True
