"""Configuration status for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import Any

    from ospreyford.node.fleetnode import FleetNode


def describe_configuration(node: FleetNode) -> dict[str, Any]:
    """Describe the configuration in force and its distribution.

    :param node: this process's fleet node.
    :returns: content of the page ``/status``; ``stale`` is true if the
        documents have not been confirmed recently.
    """
    picture = node.configuration.picture
    return {
        'ready': node.configuration.ready,
        'revision': node.configuration.revision,
        'digest': picture.digest,
        'stale': node.distributor.is_stale(),
        'rejected': picture.rejected,
        'conflicts': picture.conflicts,
        'counters': node.distributor.counters.as_dict(),
        'peer_bytes': node.peers.counters.total_bytes(),
    }
