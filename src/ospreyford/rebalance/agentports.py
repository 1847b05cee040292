"""Ports that an agent depends on."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.ports import EnginePort


class AgentPorts(NamedTuple):
    """The ports of an agent.

    :param engine: the rank on this host.
    :param reach: returns the port of another rank by IP address and port.
    :param log: event log.
    :param clock: source of time.
    """

    engine: EnginePort
    reach: Callable[[tuple[str, int]], EnginePort]
    log: ChangeLog
    clock: Clock
