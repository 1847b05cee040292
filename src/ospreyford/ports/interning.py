"""One string and one table of labels for all hosts that have the same."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from functools import lru_cache

from ospreyford.ports.fleet import Host

#: Distinct tables of labels of which equal ones are shared.
MAX_INTERNED_LABELS = 4096


def intern_host(host: Host) -> Host:
    """Replace what many hosts have alike by one object for all of them.

    Each host that is decoded has strings and labels of its own; at 5,500
    hosts with a few roles, zones, services and racks these are half of the
    host list's memory.

    :param host: a host as decoded.
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
    """Find the one table with some labels.

    :param labels: the labels.
    :returns: an equal table, shared and so not to be changed.
    """
    return _intern_pairs(tuple(sorted(labels.items())))


@lru_cache(maxsize=MAX_INTERNED_LABELS)
def _intern_pairs(pairs: tuple[tuple[str, str], ...]) -> Mapping[str, str]:
    return dict(pairs)
