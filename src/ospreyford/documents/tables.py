"""All documents in force, by kind."""

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
from ospreyford.documents.claims import BodyChange, ClaimTable
from ospreyford.documents.conflicts import ConflictKind
from ospreyford.documents.customers import CustomerBook
from ospreyford.documents.directories import LabelDirectory
from ospreyford.documents.fleet import HostBook
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

#: Where the documents of each kind stand.
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
    """The documents in force, one table a kind."""

    customers: CustomerBook
    hosts: HostBook
    services: ClaimTable[AnyService]
    pools: ClaimTable[CapacityPool]
    placements: ClaimTable[PlacementWeights]
    intents: SelectorIndex[RoutingIntent]
    limits: SelectorIndex[CustomerLimit]
    drains: SelectorIndex[DrainRequest]

    def replaced(self, changes: Iterable[Change]) -> Tables:
        """Take in changed documents.

        :param changes: what came, changed or went.
        :returns: new tables, sharing those of the kinds without changes.
        """
        by_table: dict[str, BodyChanges] = {}
        for change in changes:
            for table, body_change in _sort_out(change):
                by_table.setdefault(table, []).append(body_change)
        following = {
            name: getattr(self, name).replaced(tuple(body_changes))
            for name, body_changes in by_table.items()
        }
        return self._replace(**following)


def empty_tables() -> Tables:
    """Make the tables of a process that knows no document.

    :returns: tables without a document.
    """
    return Tables(
        customers=LabelDirectory(
            ConflictKind.customer_label, lambda body: body.customers
        ),
        hosts=LabelDirectory(ConflictKind.host_label, lambda body: body.hosts),
        services=ClaimTable(ConflictKind.service, lambda body: body.name),
        pools=ClaimTable(ConflictKind.pool, lambda body: body.name),
        placements=ClaimTable(
            ConflictKind.placement, lambda body: body.service
        ),
        intents=SelectorIndex(lambda body: body.customers),
        limits=SelectorIndex(lambda body: body.customers),
        drains=SelectorIndex(lambda body: body.hosts),
    )


def table_of(body: DocumentBody) -> str:
    """Say in which table a document stands.

    :param body: the document.
    :returns: the table's name in :class:`Tables`.
    """
    return TABLE_OF_KIND[type(body)]


def _sort_out(change: Change) -> Iterator[TableChange]:
    before = change.before.body if change.before else None
    after = change.after.body
    old = table_of(before) if before else ''
    new = table_of(after) if after else ''
    if old and old == new:
        yield old, BodyChange(change.name, before, after)
        return
    if old:
        yield old, BodyChange(change.name, before, None)
    if new:
        yield new, BodyChange(change.name, None, after)
