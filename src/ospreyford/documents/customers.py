"""Customers grouped by what selectors can tell apart."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from ospreyford.documents.directories import LabelDirectory, LabelSet
from ospreyford.documents.selectors import Labels
from ospreyford.documents.subjects import CustomerLabels


class CustomerClass(NamedTuple):
    """Customers that no selector tells apart.

    ``customer`` is the id where a selector names it, else empty.
    """

    label_set: LabelSet
    customer: str

    def labels(self) -> Labels:
        """Give the labels that selectors see.

        :returns: the published labels, and the id under ``customer``.
        """
        return {**self.label_set.labels, 'customer': self.customer}


CustomerDirectory: TypeAlias = LabelDirectory[CustomerLabels]


def classify_customer(
    directory: CustomerDirectory, customer: str, selected_ids: frozenset[str]
) -> CustomerClass | None:
    """Find a customer's group.

    :param directory: the customers' labels.
    :param customer: the customer's id.
    :param selected_ids: the ids that selectors name.
    :returns: the group, or ``None`` when no document names the customer.
    """
    shared = directory.find(customer)
    if shared is None:
        return None
    return CustomerClass(shared, customer if customer in selected_ids else '')
