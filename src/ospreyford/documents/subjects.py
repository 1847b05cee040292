"""Document kinds for labelled customers, hosts and services."""

from __future__ import annotations

import posixpath
from collections.abc import Iterable
from functools import lru_cache
from typing import Annotated, TypeAlias
from urllib.parse import unquote

import msgspec

from ospreyford.documents.selectors import Name
from ospreyford.documents.values import (
    LabelTable,
    Milliseconds,
    PublishedDocument,
)

#: Method and path; a path that ends in ``/*`` covers all subpaths.
Call = Annotated[
    str,
    msgspec.Meta(pattern=r'^(GET|HEAD|POST|PUT|PATCH|DELETE) /[!-~]{0,200}\Z'),
]

SUBPATH_SUFFIX = '/*'

MAX_INTERNED_TABLES = 8192

#: Reserved labels, which the system sets.
CUSTOMER_LABELS = frozenset(('customer',))
HOST_LABELS = frozenset(('host', 'role', 'zone', 'region', 'service'))
SERVICE_LABELS = frozenset(('service',))


class ReservedLabel(ValueError):
    """A document sets a reserved label."""

    def __str__(self) -> str:
        """Format the error message.

        :returns: one sentence.
        """
        reserved = ', '.join(sorted(self.args))
        return f'Expected other labels than the reserved ones: {reserved}'


class CustomerLabels(
    PublishedDocument, frozen=True, kw_only=True, tag='customer'
):
    """Customers by id, each with its labels."""

    customers: dict[Name, LabelTable]

    def __post_init__(self) -> None:
        _reject_reserved(self.customers.values(), CUSTOMER_LABELS)
        shared = _intern_tables(self.customers)
        msgspec.structs.force_setattr(self, 'customers', shared)


class HostLabels(
    PublishedDocument, frozen=True, kw_only=True, tag='host-labels'
):
    """Hosts by name, each with labels that override the platform's."""

    hosts: dict[Name, LabelTable]

    def __post_init__(self) -> None:
        _reject_reserved(self.hosts.values(), HOST_LABELS)
        shared = _intern_tables(self.hosts)
        msgspec.structs.force_setattr(self, 'hosts', shared)


class Model(PublishedDocument, frozen=True, kw_only=True, tag='model'):
    """A service that a model engine runs.

    :param name: what callers and other documents call it.
    :param labels: what selectors of services match.
    :param step_milliseconds: duration of one engine step.
    :param prefix_caching: whether its engines cache prompt prefixes.
    :param non_idempotent: calls that run at most once.
    """

    name: Name
    labels: LabelTable = {}
    step_milliseconds: Milliseconds = 5
    prefix_caching: bool = True
    non_idempotent: tuple[Call, ...] = ()

    def __post_init__(self) -> None:
        _reject_reserved((self.labels,), SERVICE_LABELS)


class PlainService(PublishedDocument, frozen=True, kw_only=True, tag='service'):
    """A service without an engine; keys as in :class:`Model`."""

    name: Name
    labels: LabelTable = {}
    non_idempotent: tuple[Call, ...] = ()

    def __post_init__(self) -> None:
        _reject_reserved((self.labels,), SERVICE_LABELS)


AnyService: TypeAlias = Model | PlainService


def is_non_idempotent(service: AnyService, method: str, path: str) -> bool:
    """Return whether a call must be executed at most once.

    :param service: the called service.
    :param method: the HTTP method.
    :param path: the path, with or without a query.
    :returns: whether the service declares it non-idempotent.
    """
    plain_path = _normalize_path(path)
    return any(
        _matches_call(call, method.upper(), plain_path)
        for call in service.non_idempotent
    )


def _reject_reserved(
    tables: Iterable[LabelTable], reserved: frozenset[str]
) -> None:
    if any(not reserved.isdisjoint(table) for table in tables):
        raise ReservedLabel(*reserved)


def _intern_tables(tables: dict[str, LabelTable]) -> dict[str, LabelTable]:
    # Most customers share label combinations, so interning saves memory.
    return {
        key: _intern_table(tuple(sorted(table.items())))
        for key, table in tables.items()
    }


@lru_cache(maxsize=MAX_INTERNED_TABLES)
def _intern_table(pairs: tuple[tuple[str, str], ...]) -> LabelTable:
    return dict(pairs)


def _matches_call(call: str, method: str, path: str) -> bool:
    declared_method, declared_path = call.split(' ')
    if declared_method != method:
        return False
    parent = _normalize_path(declared_path.removesuffix(SUBPATH_SUFFIX))
    if declared_path.endswith(SUBPATH_SUFFIX):
        return path.startswith(f'{parent.rstrip("/")}/')
    return path == parent


def _normalize_path(path: str) -> str:
    # Backend servers treat `/%71uotes` and `//quotes/` as `/quotes`; without
    # normalization, such a non-idempotent call would be retried.
    decoded = unquote(path.partition('?')[0])
    return posixpath.normpath(f'/{decoded.lstrip("/")}')
