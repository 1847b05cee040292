"""Event log and metrics of both programs for the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.observability.lines import DescriptorSink
from ospreyford.observability.logs import ChangeLog
from ospreyford.settings.sections import Identity, Logs

if TYPE_CHECKING:
    from ospreyford.platform.nodefile import Node

STDOUT_FD = 1
METRICS_PORT = 9464


def open_log(node: Node) -> ChangeLog:
    """Open the event log on standard output.

    :param node: the node settings, for the identity in each line.
    :returns: the log.
    """
    identity = Identity(
        name=node.name, instance=node.name, zone=node.zone, region=node.region
    )
    return ChangeLog(Logs(), identity, DescriptorSink(STDOUT_FD))
