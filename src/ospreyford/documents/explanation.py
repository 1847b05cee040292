"""Explains the routing of a customer's requests to a service."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ospreyford.documents.customers import CustomerClass
from ospreyford.documents.homes import Homes
from ospreyford.documents.intents import RoutingIntent
from ospreyford.documents.limits import EffectiveLimit
from ospreyford.documents.mismatches import find_mismatch
from ospreyford.documents.poolexplanation import explain_pools
from ospreyford.documents.routes import (
    MatchedIntent,
    NoRoute,
    Route,
    label_service,
    service_selector,
)
from ospreyford.documents.selectors import Labels
from ospreyford.documents.snapshot import ConfigurationSnapshot
from ospreyford.documents.verdicts import (
    CustomerNotSelected,
    IntentOutcome,
    IntentVerdict,
    LostTo,
    PoolOutcome,
    ServiceNotSelected,
    Won,
)
from ospreyford.ports.fleet import Host


class Explanation(NamedTuple):
    """The inputs and outcome of routing a customer's requests.

    ``intents`` lists the matching intents first, starting with the winner;
    ``customer_labels`` is empty for an unknown customer.
    """

    customer: str
    service: str
    customer_labels: Labels
    route: Route | NoRoute
    intents: tuple[IntentOutcome, ...]
    pools: tuple[PoolOutcome, ...]
    limit: EffectiveLimit | None
    homes: Homes


def explain(
    snapshot: ConfigurationSnapshot,
    hosts: Iterable[Host],
    customer: str,
    service: str,
) -> Explanation:
    """Explain how a customer's requests to a service are routed.

    :param snapshot: the documents in force.
    :param hosts: the platform's host list.
    :param customer: the customer's id.
    :param service: the service's name.
    :returns: the outcome of each routing step.
    """
    shared = snapshot.tables.customers.find(customer)
    matched: list[MatchedIntent] = []
    labels: Labels = {}
    if shared is not None:
        found = CustomerClass(shared, customer)
        labels = found.labels()
        matched = snapshot.router.matching(found, service)
    return Explanation(
        customer,
        service,
        labels,
        snapshot.route(customer, service),
        tuple(_explain_intents(snapshot, labels, service, matched)),
        tuple(
            outcome
            for winner in matched[:1]
            for outcome in explain_pools(
                snapshot, list(hosts), service, winner.body
            )
        ),
        snapshot.limit_of(customer),
        snapshot.homes(service),
    )


def _explain_intents(
    snapshot: ConfigurationSnapshot,
    customer_labels: Labels,
    service: str,
    matched: list[MatchedIntent],
) -> Iterator[IntentOutcome]:
    for intent in matched:
        verdict = _explain_match(matched[0], intent)
        yield IntentOutcome(intent.name, intent.body.team, verdict)
    found = snapshot.service(service)
    service_labels = label_service(found) if found else {}
    names = {one.name for one in matched}
    for document in sorted(snapshot.tables.intents.documents()):
        mismatch = _explain_mismatch(
            document.body, customer_labels, service_labels
        )
        if document.name not in names and mismatch is not None:
            yield IntentOutcome(document.name, document.body.team, mismatch)


def _explain_match(
    winner: MatchedIntent, intent: MatchedIntent
) -> IntentVerdict:
    if intent is winner:
        return Won()
    return LostTo(winner.name, winner.rule_over(intent))


def _explain_mismatch(
    intent: RoutingIntent, customer_labels: Labels, service_labels: Labels
) -> CustomerNotSelected | ServiceNotSelected | None:
    failed = find_mismatch(service_selector(intent), service_labels)
    if failed is not None:
        return ServiceNotSelected(failed)
    failed = find_mismatch(intent.customers, customer_labels)
    return CustomerNotSelected(failed) if failed else None
