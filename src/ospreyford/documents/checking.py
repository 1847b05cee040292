"""Validates a set of documents before publication."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import NamedTuple

from ospreyford.documents.conflicts import Conflict
from ospreyford.documents.customers import CustomerClass
from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.intents import RoutingIntent
from ospreyford.documents.parsing import RejectedDocument
from ospreyford.documents.resolver import resolve_snapshot
from ospreyford.documents.routes import label_service, service_selector
from ospreyford.documents.selectors import Labels, Selector
from ospreyford.documents.snapshot import ConfigurationSnapshot
from ospreyford.ports.fleet import Host


class WarningKind(StrEnum):
    """Kinds of problems in a well-formed document."""

    selects_no_customer = 'selects-no-customer'
    selects_no_service = 'selects-no-service'
    selects_no_host = 'selects-no-host'
    unknown_pool = 'unknown-pool'
    unknown_service = 'unknown-service'
    unknown_home = 'unknown-home'
    pool_of_other_service = 'pool-of-other-service'
    service_without_homes = 'service-without-homes'
    same_name_twice = 'same-name-twice'


class CheckWarning(NamedTuple):
    """A probable mistake; ``subject`` is the pool, service or host, if any."""

    document: str
    kind: WarningKind
    subject: str = ''


class CheckReport(NamedTuple):
    """The result of validating a set of documents as if published alone."""

    documents: int
    rejected: tuple[RejectedDocument, ...]
    warnings: tuple[CheckWarning, ...]
    conflicts: tuple[Conflict, ...]
    snapshot: ConfigurationSnapshot


def check_documents(
    files: Iterable[tuple[str, bytes]], hosts: Iterable[Host] = ()
) -> CheckReport:
    """Check a set of documents.

    :param files: names and texts.
    :param hosts: the platform's host list; host selectors are checked
        against it unless it is empty.
    :returns: rejections, sorted warnings, conflicts and the snapshot.
    """
    entries = [DocumentEntry(name, 1, text) for name, text in files]
    snapshot = resolve_snapshot(entries)
    warnings = {
        *_find_repeated(entries),
        *_check_intents(snapshot),
        *_check_pools(snapshot),
        *_check_references(snapshot),
        *_check_homes(snapshot),
        *_check_hosts(snapshot, list(hosts)),
    }
    return CheckReport(
        len(entries),
        snapshot.rejected,
        tuple(sorted(warnings)),
        snapshot.conflicts,
        snapshot,
    )


def _find_repeated(entries: list[DocumentEntry]) -> Iterator[CheckWarning]:
    seen: set[str] = set()
    for entry in entries:
        if entry.name in seen:
            yield CheckWarning(entry.name, WarningKind.same_name_twice)
        seen.add(entry.name)


def _check_intents(snapshot: ConfigurationSnapshot) -> Iterator[CheckWarning]:
    customers = _customer_labels(snapshot)
    services = [label_service(service) for service in snapshot.services()]
    for name, intent in snapshot.tables.intents.documents():
        if not _selects_any(intent.customers, customers):
            yield CheckWarning(name, WarningKind.selects_no_customer)
        if not _selects_any(service_selector(intent), services):
            yield CheckWarning(
                name, WarningKind.selects_no_service, intent.service or ''
            )
        for pool in intent.pools:
            yield from _check_pool_name(snapshot, name, intent, pool)
    for name, limit in snapshot.tables.limits.documents():
        if not _selects_any(limit.customers, customers):
            yield CheckWarning(name, WarningKind.selects_no_customer)


def _check_pool_name(
    snapshot: ConfigurationSnapshot, name: str, intent: RoutingIntent, pool: str
) -> Iterator[CheckWarning]:
    found = snapshot.pool(pool)
    if found is None:
        yield CheckWarning(name, WarningKind.unknown_pool, pool)
        return
    labels = _labels_of_service(snapshot, found.service)
    if not service_selector(intent).matches(labels):
        yield CheckWarning(name, WarningKind.pool_of_other_service, pool)


def _check_pools(snapshot: ConfigurationSnapshot) -> Iterator[CheckWarning]:
    for name, pool in snapshot.tables.pools.documents():
        if snapshot.service(pool.service) is None:
            yield CheckWarning(name, WarningKind.unknown_service, pool.service)


def _check_references(
    snapshot: ConfigurationSnapshot,
) -> Iterator[CheckWarning]:
    for name, weights in snapshot.tables.placements.documents():
        if snapshot.service(weights.service) is None:
            yield CheckWarning(
                name, WarningKind.unknown_service, weights.service
            )


def _check_homes(snapshot: ConfigurationSnapshot) -> Iterator[CheckWarning]:
    for name, service in snapshot.tables.services.winners():
        if service.non_idempotent and not snapshot.homes(service.name).current:
            yield CheckWarning(
                name, WarningKind.service_without_homes, service.name
            )


def _check_hosts(
    snapshot: ConfigurationSnapshot, hosts: list[Host]
) -> Iterator[CheckWarning]:
    if not hosts:
        return
    for name, drain in snapshot.tables.drains.documents():
        zoned = [host for host in hosts if drain.zone in {None, host.zone}]
        labels = [snapshot.labels_of(host) for host in zoned]
        if not _selects_any(drain.hosts, labels):
            yield CheckWarning(name, WarningKind.selects_no_host)
    names = {host.name for host in hosts}
    for name, pool in snapshot.tables.pools.documents():
        if not snapshot.members(pool.name, hosts):
            yield CheckWarning(name, WarningKind.selects_no_host)
        new = (home.name for home in pool.new_homes)
        for home in (*pool.homes, *new):
            if home not in names:
                yield CheckWarning(name, WarningKind.unknown_home, home)


def _customer_labels(snapshot: ConfigurationSnapshot) -> list[Labels]:
    directory = snapshot.tables.customers
    labels: list[Labels] = []
    for customer in directory.keys():
        shared = directory.find(customer)
        if shared is not None:
            labels.append(CustomerClass(shared, customer).labels())
    return labels


def _labels_of_service(snapshot: ConfigurationSnapshot, name: str) -> Labels:
    service = snapshot.service(name)
    return label_service(service) if service else {'service': name}


def _selects_any(selector: Selector, candidates: list[Labels]) -> bool:
    return any(selector.matches(labels) for labels in candidates)
