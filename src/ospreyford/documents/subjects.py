"""Customers, hosts and services: what carries labels."""

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

#: A call that may not be repeated: a method and a path. A path that ends
#: in ``/*`` stands for everything below it.
Call = Annotated[
    str,
    msgspec.Meta(pattern=r'^(GET|HEAD|POST|PUT|PATCH|DELETE) /[!-~]{0,200}\Z'),
]

SUBPATH_SUFFIX = '/*'

#: Distinct label tables of which equal ones are shared.
MAX_INTERNED_TABLES = 8192

#: Labels that the system sets itself: a customer's, a host's, a service's.
CUSTOMER_LABELS = frozenset(('customer',))
HOST_LABELS = frozenset(('host', 'role', 'zone', 'region', 'service'))
SERVICE_LABELS = frozenset(('service',))


class ReservedLabel(ValueError):
    """A document sets a label that the system sets itself."""

    def __str__(self) -> str:
        """Say what is allowed.

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
    """Hosts by name, each with labels laid over the platform's."""

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
    """Tell whether a call may run at most once.

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
    # Equal label tables become one: 37,000 customers have a few hundred
    # combinations of labels, and a table with strings of its own for each
    # took more memory than a process has for all of its state.
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
    # A back end takes `/%71uotes` or `//quotes/` for `/quotes`. Compared as
    # spelt, such a call would pass for idempotent, be retried, and issue two
    # quotes; so the spellings that servers commonly treat alike count as one.
    decoded = unquote(path.partition('?')[0])
    return posixpath.normpath(f'/{decoded.lstrip("/")}')
