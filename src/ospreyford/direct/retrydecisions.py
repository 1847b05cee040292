"""Log events about the shared retry budget."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RetryBudgetExhausted:
    """The entry's retry budget of a service is used up.

    :param service: name of the service.
    :param requests: callers' requests in the sliding window.
    :param retries: retries in that window.
    :param entries: number of entries that share the budget.
    """

    service: str
    requests: int
    retries: int
    entries: int


@dataclass(frozen=True)
class EntryCountChanged:
    """Another number of entries shares the retry budget.

    :param entries: number of entries, with those assumed.
    """

    entries: int


RetryDecision = RetryBudgetExhausted | EntryCountChanged
