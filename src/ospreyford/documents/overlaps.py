"""Finds conflicts among the documents in force."""

from __future__ import annotations

from collections.abc import Iterator

from ospreyford.documents.conflicts import Conflict, ConflictKind, Rule
from ospreyford.documents.limits import LimitResolver
from ospreyford.documents.routes import MatchedIntent, Router
from ospreyford.documents.tables import Tables


def find_conflicts(
    tables: Tables, router: Router, limits: LimitResolver
) -> tuple[Conflict, ...]:
    """List all conflicts among the documents in force.

    Takes time proportional to customer classes times services, so it must
    not run on the request path.

    :param tables: the documents in force.
    :param router: the router over these documents.
    :param limits: the effective limits from these documents.
    :returns: the conflicts, sorted.
    """
    found: set[Conflict] = set()
    found.update(tables.customers.conflicts())
    found.update(tables.hosts.conflicts())
    found.update(tables.services.conflicts())
    found.update(tables.pools.conflicts())
    found.update(tables.placements.conflicts())
    found.update(_route_conflicts(tables, router))
    found.update(_limit_conflicts(tables, limits))
    return tuple(sorted(found))


def _route_conflicts(tables: Tables, router: Router) -> Iterator[Conflict]:
    directory = tables.customers
    groups = {
        router.classify(directory, customer) for customer in directory.keys()
    }
    services = [document.body.name for document in tables.services.winners()]
    for group in groups:
        if group is not None:
            for service in services:
                yield from _intent_conflicts(router.matching(group, service))


def _intent_conflicts(matched: list[MatchedIntent]) -> Iterator[Conflict]:
    for loser in matched[1:]:
        winner = matched[0]
        rule = winner.rule_over(loser)
        if rule != Rule.more_specific or _overrides_other_team(winner, loser):
            yield Conflict(
                ConflictKind.routing,
                'routing-intent',
                winner.name,
                loser.name,
                rule,
            )


def _overrides_other_team(winner: MatchedIntent, loser: MatchedIntent) -> bool:
    # Overriding a default or an intent of the same team is intended.
    return (
        winner.body.team != loser.body.team
        and not loser.body.customers.everything
    )


def _limit_conflicts(
    tables: Tables, limits: LimitResolver
) -> Iterator[Conflict]:
    directory = tables.customers
    groups = {
        limits.classify(directory, customer) for customer in directory.keys()
    }
    for group in groups:
        if group is not None:
            yield from limits.conflicts(group)
