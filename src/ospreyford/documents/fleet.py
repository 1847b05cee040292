"""Hosts as the documents see them: labels and drain requests."""

from __future__ import annotations

from typing import TypeAlias

from ospreyford.documents.capacity import CapacityPool, DrainRequest
from ospreyford.documents.documenttable import NamedDocument
from ospreyford.documents.directories import LabelDirectory
from ospreyford.documents.index import SelectorIndex
from ospreyford.documents.selectors import Labels
from ospreyford.documents.subjects import HostLabels
from ospreyford.ports.fleet import Host

#: The role of the hosts that pools may hold.
BACKEND_ROLE = 'backend'

HostDirectory: TypeAlias = LabelDirectory[HostLabels]


def label_host(directory: HostDirectory, host: Host) -> Labels:
    """Put together the labels that selectors see of a host.

    :param directory: the published labels of hosts.
    :param host: the host.
    :returns: the platform's labels, over them the published ones, over
        them what the host list itself says.
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
    :param labels: what selectors see of it.
    :returns: of all requests that select it the first by name.
    """
    matching = (
        document
        for document in drains.matching(labels)
        if document.body.zone in {None, host.zone}
    )
    return min(matching, key=lambda document: document.name, default=None)


def is_candidate(pool: CapacityPool, host: Host) -> bool:
    """Tell whether a pool's selector decides over a host.

    :param pool: the pool.
    :param host: the host.
    :returns: whether it is a backend server host of the pool's service.
    """
    return host.role == BACKEND_ROLE and host.service == pool.service
