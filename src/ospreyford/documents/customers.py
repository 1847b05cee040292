"""Equivalence classes of customers with respect to selectors."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from ospreyford.documents.directories import LabelDirectory, LabelSet
from ospreyford.documents.selectors import Labels
from ospreyford.documents.subjects import CustomerLabels


class CustomerClass(NamedTuple):
    """Customers that match the same selectors.

    ``customer`` is the id if a selector names it, otherwise empty.
    """

    label_set: LabelSet
    customer: str

    def labels(self) -> Labels:
        """Return the labels that selectors match.

        :returns: the published labels, and the id under ``customer``.
        """
        return {**self.label_set.labels, 'customer': self.customer}


CustomerDirectory: TypeAlias = LabelDirectory[CustomerLabels]


def classify_customer(
    directory: CustomerDirectory, customer: str, selected_ids: frozenset[str]
) -> CustomerClass | None:
    """Find a customer's equivalence class.

    :param directory: the customers' labels.
    :param customer: the customer's id.
    :param selected_ids: the customer ids that selectors name.
    :returns: the class, or ``None`` when no document names the customer.
    """
    shared = directory.find(customer)
    if shared is None:
        return None
    return CustomerClass(shared, customer if customer in selected_ids else '')
