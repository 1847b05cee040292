"""Tables of the documents in force, by kind."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, TypeAlias

from ospreyford.documents.capacity import (
    CapacityPool,
    CustomerLimit,
    DrainRequest,
    PlacementWeights,
)
from ospreyford.documents.conflicts import ConflictKind
from ospreyford.documents.customers import CustomerDirectory
from ospreyford.documents.directories import LabelDirectory
from ospreyford.documents.documenttable import BodyChange, DocumentTable
from ospreyford.documents.fleet import HostDirectory
from ospreyford.documents.history import Change
from ospreyford.documents.index import SelectorIndex
from ospreyford.documents.intents import RoutingIntent
from ospreyford.documents.schema import DocumentBody
from ospreyford.documents.subjects import (
    AnyService,
    CustomerLabels,
    HostLabels,
    Model,
    PlainService,
)

#: Table of each kind of document.
TABLE_OF_KIND: Mapping[type, str] = MappingProxyType(
    {
        CustomerLabels: 'customers',
        HostLabels: 'hosts',
        Model: 'services',
        PlainService: 'services',
        CapacityPool: 'pools',
        PlacementWeights: 'placements',
        RoutingIntent: 'intents',
        CustomerLimit: 'limits',
        DrainRequest: 'drains',
    }
)

BodyChanges: TypeAlias = list[BodyChange[Any]]
TableChange: TypeAlias = tuple[str, BodyChange[Any]]


class Tables(NamedTuple):
    """The documents in force, in one table per kind."""

    customers: CustomerDirectory
    hosts: HostDirectory
    services: DocumentTable[AnyService]
    pools: DocumentTable[CapacityPool]
    placements: DocumentTable[PlacementWeights]
    intents: SelectorIndex[RoutingIntent]
    limits: SelectorIndex[CustomerLimit]
    drains: SelectorIndex[DrainRequest]

    def apply_changes(self, changes: Iterable[Change]) -> Tables:
        """Apply changed documents.

        :param changes: added, changed and removed documents.
        :returns: new tables, sharing the unchanged ones.
        """
        by_table: dict[str, BodyChanges] = {}
        for change in changes:
            for table, body_change in _split_by_table(change):
                by_table.setdefault(table, []).append(body_change)
        changed_tables = {
            name: getattr(self, name).apply_changes(tuple(body_changes))
            for name, body_changes in by_table.items()
        }
        return self._replace(**changed_tables)


def make_empty_tables() -> Tables:
    """Create tables without documents.

    :returns: empty tables.
    """
    return Tables(
        customers=LabelDirectory(
            ConflictKind.customer_label, lambda body: body.customers
        ),
        hosts=LabelDirectory(ConflictKind.host_label, lambda body: body.hosts),
        services=DocumentTable(ConflictKind.service, lambda body: body.name),
        pools=DocumentTable(ConflictKind.pool, lambda body: body.name),
        placements=DocumentTable(
            ConflictKind.placement, lambda body: body.service
        ),
        intents=SelectorIndex(lambda body: body.customers),
        limits=SelectorIndex(lambda body: body.customers),
        drains=SelectorIndex(lambda body: body.hosts),
    )


def find_table(body: DocumentBody) -> str:
    """Find the table of a document.

    :param body: the document.
    :returns: the table's name in :class:`Tables`.
    """
    return TABLE_OF_KIND[type(body)]


def _split_by_table(change: Change) -> Iterator[TableChange]:
    before = change.before.body if change.before else None
    after = change.after.body
    old = find_table(before) if before else ''
    new = find_table(after) if after else ''
    if old and old == new:
        yield old, BodyChange(change.name, before, after)
        return
    if old:
        yield old, BodyChange(change.name, before, None)
    if new:
        yield new, BodyChange(change.name, None, after)
