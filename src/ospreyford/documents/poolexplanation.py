"""Explains which hosts the pools of a route contain."""

from __future__ import annotations

from collections.abc import Iterator

from ospreyford.documents.capacity import CapacityPool
from ospreyford.documents.documenttable import NamedDocument
from ospreyford.documents.fleet import is_candidate
from ospreyford.documents.intents import RoutingIntent
from ospreyford.documents.mismatches import find_mismatch
from ospreyford.documents.snapshot import ConfigurationSnapshot
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
    snapshot: ConfigurationSnapshot,
    hosts: list[Host],
    service: str,
    intent: RoutingIntent,
) -> Iterator[PoolOutcome]:
    """Explain the pools of a routing intent.

    :param snapshot: the documents in force.
    :param hosts: the platform's host list.
    :param service: the requested service.
    :param intent: the intent that won.
    :returns: the outcomes in the intent's order.
    """
    for name in dict.fromkeys(intent.pools):
        document = snapshot.tables.pools.winner(name)
        verdict = _explain_pool(snapshot, hosts, service, document)
        yield PoolOutcome(name, verdict)


def _explain_pool(
    snapshot: ConfigurationSnapshot,
    hosts: list[Host],
    service: str,
    document: NamedDocument[CapacityPool] | None,
) -> PoolVerdict:
    if document is None:
        return PoolMissing()
    if document.body.service != service:
        return PoolOfOtherService(document.body.service)
    outcomes = (
        HostOutcome(
            host.name, host.zone, _explain_host(snapshot, document.body, host)
        )
        for host in hosts
        if is_candidate(document.body, host)
    )
    return PoolMembers(document.name, tuple(outcomes))


def _explain_host(
    snapshot: ConfigurationSnapshot, pool: CapacityPool, host: Host
) -> HostVerdict:
    failed = find_mismatch(pool.hosts, snapshot.labels_of(host))
    if failed is not None:
        return failed
    drain = snapshot.drain_document_of(host)
    if drain is not None:
        return Draining(drain.name, drain.body.reason)
    if host.state is HostState.leaving:
        return Leaving()
    return Usable()
