"""Which hosts a route's pools reach, and why not the others."""

from __future__ import annotations

from collections.abc import Iterator

from ospreyford.documents.capacity import CapacityPool
from ospreyford.documents.claims import Claim
from ospreyford.documents.fleet import is_candidate
from ospreyford.documents.intents import RoutingIntent
from ospreyford.documents.mismatches import find_failed
from ospreyford.documents.picture import Picture
from ospreyford.documents.verdicts import (
    Draining,
    HostOutcome,
    HostVerdict,
    Leaving,
    PoolMembers,
    PoolMissing,
    PoolOfOtherService,
    PoolOutcome,
    PoolVerdict,
    Usable,
)
from ospreyford.ports.fleet import Host, HostState


def explain_pools(
    picture: Picture,
    hosts: list[Host],
    service: str,
    intent: RoutingIntent,
) -> Iterator[PoolOutcome]:
    """Explain the pools of a routing intent.

    :param picture: the documents in force.
    :param hosts: the platform's host list.
    :param service: the requested service.
    :param intent: the intent that won.
    :returns: the outcomes in the intent's order.
    """
    for name in dict.fromkeys(intent.pools):
        claim = picture.tables.pools.winner(name)
        verdict = _explain_pool(picture, hosts, service, claim)
        yield PoolOutcome(name, verdict)


def _explain_pool(
    picture: Picture,
    hosts: list[Host],
    service: str,
    claim: Claim[CapacityPool] | None,
) -> PoolVerdict:
    if claim is None:
        return PoolMissing()
    if claim.body.service != service:
        return PoolOfOtherService(claim.body.service)
    outcomes = (
        HostOutcome(
            host.name, host.zone, _explain_host(picture, claim.body, host)
        )
        for host in hosts
        if is_candidate(claim.body, host)
    )
    return PoolMembers(claim.name, tuple(outcomes))


def _explain_host(
    picture: Picture, pool: CapacityPool, host: Host
) -> HostVerdict:
    failed = find_failed(pool.hosts, picture.labels_of(host))
    if failed is not None:
        return failed
    drain = picture.drain_document_of(host)
    if drain is not None:
        return Draining(drain.name, drain.body.reason)
    if host.state is HostState.leaving:
        return Leaving()
    return Usable()
