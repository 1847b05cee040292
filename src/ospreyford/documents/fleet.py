"""Effective labels and drain requests of hosts."""

from __future__ import annotations

from typing import TypeAlias

from ospreyford.documents.capacity import CapacityPool, DrainRequest
from ospreyford.documents.directories import LabelDirectory
from ospreyford.documents.documenttable import NamedDocument
from ospreyford.documents.index import SelectorIndex
from ospreyford.documents.selectors import Labels
from ospreyford.documents.subjects import HostLabels
from ospreyford.ports.fleet import Host

BACKEND_ROLE = 'backend'

HostDirectory: TypeAlias = LabelDirectory[HostLabels]


def label_host(directory: HostDirectory, host: Host) -> Labels:
    """Merge the labels of a host that selectors match.

    :param directory: the published labels of hosts.
    :param host: the host.
    :returns: the platform's labels, overridden by the published labels and
        then by the built-in ones.
    """
    published = directory.find(host.name)
    return {
        **host.labels,
        **(published.labels if published else {}),
        'host': host.name,
        'role': host.role,
        'zone': host.zone,
        'region': host.region,
        'service': host.service,
    }


def find_drain(
    drains: SelectorIndex[DrainRequest], host: Host, labels: Labels
) -> NamedDocument[DrainRequest] | None:
    """Find the drain request of a host.

    :param drains: the drain requests in force.
    :param host: the host.
    :param labels: its effective labels.
    :returns: the matching request with the first name, or ``None``.
    """
    matching = (
        document
        for document in drains.matching(labels)
        if document.body.zone in {None, host.zone}
    )
    return min(matching, key=lambda document: document.name, default=None)


def is_candidate(pool: CapacityPool, host: Host) -> bool:
    """Return whether a host can be a member of a pool.

    :param pool: the pool.
    :param host: the host.
    :returns: whether it runs a backend server of the pool's service.
    """
    return host.role == BACKEND_ROLE and host.service == pool.service
