"""Retry and hedge budgets."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.routing.settings import BudgetSettings

#: Routing intents with a budget; the oldest is evicted beyond this.
MAX_INTENTS = 1024


class Allowance(NamedTuple):
    """Extra attempts that a routing intent allows.

    :param intent: name of the intent's document.
    :param retry_ratio: retries earned by each first attempt of the intent.
    :param hedge_ratio: hedges earned by each first attempt of the intent.
    """

    intent: str
    retry_ratio: float
    hedge_ratio: float


class AttemptBudget:
    """Bounds extra attempts to a ratio of first attempts.

    This prevents retry storms that sustain an overload after its cause is gone.

    :param ratio: extra attempts earned by each first attempt.
    :param burst: initial and maximum balance, in extra attempts.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self.ratio = ratio
        self._burst = burst
        self._balance = burst

    def allows(self) -> bool:
        """Check whether an extra attempt may be sent.

        :returns: whether the balance covers it; always false at a ratio of 0.
        """
        return self.ratio > 0 and self._balance >= 1

    def earn(self) -> None:
        """Credit one first attempt."""
        self._balance = min(self._burst, self._balance + self.ratio)

    def spend(self) -> bool:
        """Spend one extra attempt.

        :returns: whether the balance covered it.
        """
        if not self.allows():
            return False
        self._balance -= 1
        return True


class IntentBudgets:
    """Separate retry and hedge budgets for each routing intent at this entry.

    :param settings: provides the burst of each budget.
    """

    def __init__(self, settings: BudgetSettings) -> None:
        self._settings = settings
        self._retry_budgets: dict[str, AttemptBudget] = {}
        self._hedge_budgets: dict[str, AttemptBudget] = {}

    def get_retry_budget(self, allowance: Allowance) -> AttemptBudget:
        """Get an intent's retry budget.

        :param allowance: the intent and its current ratios.
        :returns: the budget.
        """
        return self._get_budget(
            self._retry_budgets, allowance.intent, allowance.retry_ratio
        )

    def get_hedge_budget(self, allowance: Allowance) -> AttemptBudget:
        """Get an intent's hedge budget.

        :param allowance: the intent and its current ratios.
        :returns: the budget.
        """
        return self._get_budget(
            self._hedge_budgets, allowance.intent, allowance.hedge_ratio
        )

    def earn(self, allowance: Allowance) -> None:
        """Credit one first attempt.

        :param allowance: the intent and its current ratios.
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
        # A changed ratio keeps the balance; a new budget would refill it.
        budget.ratio = ratio
        return budget


def spend_all(budgets: Sequence[AttemptBudget]) -> bool:
    """Spend one extra attempt from every budget, or from none.

    :param budgets: the budgets that must all allow it.
    :returns: whether all budgets covered it.
    """
    if not all(budget.allows() for budget in budgets):
        return False
    for budget in budgets:
        budget.spend()
    return True
