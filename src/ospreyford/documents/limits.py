"""Computes the effective limits of customers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from ospreyford.documents.capacity import CustomerLimit
from ospreyford.documents.conflicts import (
    Conflict,
    ConflictKind,
    Precedence,
    Rule,
    compute_precedence,
    find_deciding_rule,
)
from ospreyford.documents.customers import (
    CustomerClass,
    CustomerDirectory,
    classify_customer,
)
from ospreyford.documents.documenttable import NamedDocument
from ospreyford.documents.index import SelectorIndex
from ospreyford.documents.routes import MAX_CACHED_ENTRIES

DEFAULT_WEIGHT = 1

#: Keys for which the smallest value wins.
STRICT_KEYS = (
    'requests_per_second',
    'tokens_per_second',
    'concurrency',
    'burst',
)


class EffectiveLimit(NamedTuple):
    """Effective limits of a customer; ``None`` sets no limit.

    Rates are in requests and tokens a second, ``burst`` and ``concurrency``
    in requests; ``documents`` are those that select the customer, by name.
    """

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    concurrency: int | None = None
    burst: int | None = None
    weight: float = DEFAULT_WEIGHT
    documents: tuple[str, ...] = ()


class LimitResolver:
    """Computes and caches effective limits.

    :param limits: the limits by selector.
    """

    def __init__(self, limits: SelectorIndex[CustomerLimit]) -> None:
        self.limits = limits
        self._selected_ids: frozenset[str] | None = None
        self._limits_by_class: dict[CustomerClass, EffectiveLimit] = {}

    def limit_of(
        self, directory: CustomerDirectory, customer: str
    ) -> EffectiveLimit | None:
        """Combine the limits of a customer.

        :param directory: the customers' labels.
        :param customer: the customer's id.
        :returns: the strictest value of each key, or ``None`` for an
            unknown customer.
        """
        found = self.classify(directory, customer)
        if found is None:
            return None
        effective = self._limits_by_class.get(found)
        if effective is None:
            effective = _combine_limits(self.limits.matching(found.labels()))
            if len(self._limits_by_class) >= MAX_CACHED_ENTRIES:
                self._limits_by_class.clear()
            self._limits_by_class[found] = effective
        return effective

    def classify(
        self, directory: CustomerDirectory, customer: str
    ) -> CustomerClass | None:
        """Find the class of customers with the same limits.

        :param directory: the customers' labels.
        :param customer: the customer's id.
        :returns: the class, or ``None`` when no document names it.
        """
        if self._selected_ids is None:
            self._selected_ids = self.limits.collect_values('customer')
        return classify_customer(directory, customer, self._selected_ids)

    def conflicts(self, customer: CustomerClass) -> Iterator[Conflict]:
        """List the conflicting limits of a customer.

        :param customer: the customer's class.
        :returns: one conflict for each losing value.
        """
        documents = list(self.limits.matching(customer.labels()))
        for key in STRICT_KEYS:
            yield from _key_conflicts(documents, key)
        yield from _weight_conflicts(documents)


def _combine_limits(
    matching: Iterable[NamedDocument[CustomerLimit]],
) -> EffectiveLimit:
    documents = sorted(matching, key=lambda document: document.name)
    strictest = {key: _find_minimum(documents, key) for key in STRICT_KEYS}
    weighted = _sort_weights(documents)
    return EffectiveLimit(
        **strictest,
        weight=weighted[0][1] if weighted else DEFAULT_WEIGHT,
        documents=tuple(document.name for document in documents),
    )


def _find_minimum(
    documents: list[NamedDocument[CustomerLimit]], key: str
) -> Any:
    given = (getattr(document.body.limits, key) for document in documents)
    return min((limit for limit in given if limit is not None), default=None)


def _sort_weights(
    documents: Iterable[NamedDocument[CustomerLimit]],
) -> list[tuple[Precedence, float]]:
    # A weight is a share, not an upper bound, so precedence decides.
    return sorted(
        (
            compute_precedence(name, body, body.customers.specificity()),
            body.limits.weight,
        )
        for name, body in documents
        if body.limits.weight is not None
    )


def _key_conflicts(
    documents: list[NamedDocument[CustomerLimit]], key: str
) -> Iterator[Conflict]:
    bounds = sorted(
        (getattr(body.limits, key), name, body.customers.everything)
        for name, body in documents
        if getattr(body.limits, key) is not None
    )
    for bound, loser, is_default in bounds[1:]:
        strictest, winner, _ = bounds[0]
        # Overriding a default for all customers is not a conflict.
        if bound != strictest and not is_default:
            yield Conflict(
                ConflictKind.limit, key, winner, loser, Rule.strictest
            )


def _weight_conflicts(
    documents: Iterable[NamedDocument[CustomerLimit]],
) -> Iterator[Conflict]:
    weighted = _sort_weights(documents)
    for precedence, weight in weighted[1:]:
        winner, winning = weighted[0]
        if weight != winning and precedence[:2] == winner[:2]:
            yield Conflict(
                ConflictKind.limit,
                'weight',
                winner.name,
                precedence.name,
                find_deciding_rule(winner, precedence),
            )
