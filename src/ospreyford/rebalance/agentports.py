"""What an agent uses of its surroundings."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.ports import EnginePort


class AgentPorts(NamedTuple):
    """The ports of an agent.

    :param engine: the rank beside it.
    :param reach: reaches another rank by IP number and port.
    :param log: where decisions go.
    :param clock: source of time.
    """

    engine: EnginePort
    reach: Callable[[tuple[str, int]], EnginePort]
    log: ChangeLog
    clock: Clock
