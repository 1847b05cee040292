"""Interning of strings and labels of hosts."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from functools import lru_cache

from ospreyford.ports.fleet import Host

#: Size of the cache of label mappings.
MAX_INTERNED_LABELS = 4096


def intern_host(host: Host) -> Host:
    """Intern strings and labels of a host to reduce memory.

    :param host: a decoded host.
    :returns: an equal host.
    """
    return Host(
        name=host.name,
        instance=host.instance,
        role=sys.intern(host.role),
        zone=sys.intern(host.zone),
        region=sys.intern(host.region),
        service=sys.intern(host.service),
        data_address=host.data_address,
        peer_address=host.peer_address,
        state=host.state,
        labels=intern_labels(host.labels),
    )


def intern_labels(labels: Mapping[str, str]) -> Mapping[str, str]:
    """Return the shared mapping equal to the given labels.

    :param labels: the labels.
    :returns: an equal mapping, shared and not to be modified.
    """
    return _intern_pairs(tuple(sorted(labels.items())))


@lru_cache(maxsize=MAX_INTERNED_LABELS)
def _intern_pairs(pairs: tuple[tuple[str, str], ...]) -> Mapping[str, str]:
    return dict(pairs)
