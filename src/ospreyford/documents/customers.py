"""Customers grouped by what selectors can tell apart."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from ospreyford.documents.directories import LabelDirectory, LabelSet
from ospreyford.documents.selectors import Labels
from ospreyford.documents.subjects import CustomerLabels


class Customer(NamedTuple):
    """Customers that no selector tells apart.

    ``customer`` is the id where a selector names it, else empty.
    """

    shared: LabelSet
    customer: str

    def labels(self) -> Labels:
        """Give the labels that selectors see.

        :returns: the published labels, and the id under ``customer``.
        """
        return {**self.shared.labels, 'customer': self.customer}


CustomerBook: TypeAlias = LabelDirectory[CustomerLabels]


def classify(
    book: CustomerBook, customer: str, mentioned: frozenset[str]
) -> Customer | None:
    """Find a customer's group.

    :param book: the customers' labels.
    :param customer: the customer's id.
    :param mentioned: the ids that selectors name.
    :returns: the group, or ``None`` when no document names the customer.
    """
    shared = book.find(customer)
    if shared is None:
        return None
    return Customer(shared, customer if customer in mentioned else '')
