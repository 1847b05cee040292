"""What a customer may use, out of all limits that select it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from ospreyford.documents.capacity import CustomerLimit
from ospreyford.documents.claims import Claim
from ospreyford.documents.conflicts import (
    Conflict,
    ConflictKind,
    Precedence,
    Rule,
    rank,
    rule_between,
)
from ospreyford.documents.customers import Customer, CustomerBook, classify
from ospreyford.documents.index import SelectorIndex
from ospreyford.documents.routes import MAX_REMEMBERED

DEFAULT_WEIGHT = 1

#: The keys of which the smallest value wins.
STRICT_KEYS = (
    'requests_per_second',
    'tokens_per_second',
    'concurrency',
    'burst',
)


class EffectiveLimit(NamedTuple):
    """What one customer may use; ``None`` sets no limit.

    Rates are in requests and tokens a second, ``burst`` and ``concurrency``
    in requests; ``documents`` are those that select the customer, by name.
    """

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    concurrency: int | None = None
    burst: int | None = None
    weight: float = DEFAULT_WEIGHT
    documents: tuple[str, ...] = ()


class LimitBook:
    """Answers for limits, and remembers the answers.

    :param limits: the limits by selector.
    """

    def __init__(self, limits: SelectorIndex[CustomerLimit]) -> None:
        self.limits = limits
        self._mentioned: frozenset[str] | None = None
        self._effective: dict[Customer, EffectiveLimit] = {}

    def limit_of(
        self, book: CustomerBook, customer: str
    ) -> EffectiveLimit | None:
        """Combine the limits of a customer.

        :param book: the customers' labels.
        :param customer: the customer's id.
        :returns: the strictest of each key, or ``None`` for a customer that
            no document names.
        """
        found = self.classify(book, customer)
        if found is None:
            return None
        effective = self._effective.get(found)
        if effective is None:
            effective = _combine(self.limits.matching(found.labels()))
            if len(self._effective) >= MAX_REMEMBERED:
                self._effective.clear()
            self._effective[found] = effective
        return effective

    def classify(self, book: CustomerBook, customer: str) -> Customer | None:
        """Find what all customers with the same limits have in common.

        :param book: the customers' labels.
        :param customer: the customer's id.
        :returns: the class, or ``None`` when no document names it.
        """
        if self._mentioned is None:
            self._mentioned = self.limits.texts_of('customer')
        return classify(book, customer, self._mentioned)

    def conflicts(self, customer: Customer) -> Iterator[Conflict]:
        """List the limits of a customer that differ.

        :param customer: the customer's class.
        :returns: one conflict for each value that lost.
        """
        claims = list(self.limits.matching(customer.labels()))
        for key in STRICT_KEYS:
            yield from _key_conflicts(claims, key)
        yield from _weight_conflicts(claims)


def _combine(matching: Iterable[Claim[CustomerLimit]]) -> EffectiveLimit:
    claims = sorted(matching, key=lambda claim: claim.name)
    strictest = {key: _smallest(claims, key) for key in STRICT_KEYS}
    weighted = _by_precedence(claims)
    return EffectiveLimit(
        **strictest,
        weight=weighted[0][1] if weighted else DEFAULT_WEIGHT,
        documents=tuple(claim.name for claim in claims),
    )


def _smallest(claims: list[Claim[CustomerLimit]], key: str) -> Any:
    given = (getattr(claim.body.limits, key) for claim in claims)
    return min((limit for limit in given if limit is not None), default=None)


def _by_precedence(
    claims: Iterable[Claim[CustomerLimit]],
) -> list[tuple[Precedence, float]]:
    # A weight is a share, not a bound: the smallest would let any default
    # for all customers undo what was agreed with one of them.
    return sorted(
        (
            rank(name, body, body.customers.specificity()),
            body.limits.weight,
        )
        for name, body in claims
        if body.limits.weight is not None
    )


def _key_conflicts(
    claims: list[Claim[CustomerLimit]], key: str
) -> Iterator[Conflict]:
    bounds = sorted(
        (getattr(body.limits, key), name, body.customers.everything)
        for name, body in claims
        if getattr(body.limits, key) is not None
    )
    for bound, loser, is_default in bounds[1:]:
        strictest, winner, _ = bounds[0]
        # A stricter limit over one for everybody is how defaults are used.
        if bound != strictest and not is_default:
            yield Conflict(
                ConflictKind.limit, key, winner, loser, Rule.strictest
            )


def _weight_conflicts(
    claims: Iterable[Claim[CustomerLimit]],
) -> Iterator[Conflict]:
    weighted = _by_precedence(claims)
    for precedence, weight in weighted[1:]:
        winner, winning = weighted[0]
        if weight != winning and precedence[:2] == winner[:2]:
            yield Conflict(
                ConflictKind.limit,
                'weight',
                winner.name,
                precedence.name,
                rule_between(winner, precedence),
            )
