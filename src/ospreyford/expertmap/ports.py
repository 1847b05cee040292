"""What the agreement needs besides peers and a clock."""

from __future__ import annotations

from collections.abc import Coroutine, Sequence
from enum import StrEnum
from typing import Any, NamedTuple, Protocol

from ospreyford.expertmap.maps import ExpertMap, MapName


class OrderOutcome(StrEnum):
    """What became of an order to an engine.

    ``refused`` means that the engine has seen a later fencing number.
    ``unknown`` says nothing: the order may yet be applied.
    """

    applied = 'applied'
    refused = 'refused'
    unknown = 'unknown'


class Grant(NamedTuple):
    """Leave to run the steps of one window with one map.

    ``fencing`` rises with every order of every process that orders the
    engine; ``generation`` is the number of the generation.
    """

    generation: int
    fencing: int
    map_name: MapName
    first_step: int
    last_step: int


class EngineStatus(NamedTuple):
    """What an engine tells of itself.

    ``instance`` changes when the engine's process is replaced, ``step`` is
    the last step that it ran, ``granted_step`` the last one that it may run
    and ``fencing`` the highest fencing number that it has seen.
    """

    instance: str
    step: int
    granted_step: int
    fencing: int


class EnginePort(Protocol):
    """The engine of this host's ranks. It runs no step without a grant."""

    async def grant(self, order: Grant) -> OrderOutcome:
        """Let the engine run the steps of a window.

        :param order: range, map, generation and fencing number.
        :returns: what became of it.
        """

    async def halt(self, generation: int, fencing: int) -> OrderOutcome:
        """Take every grant back: no further step runs.

        :param generation: number of the generation that takes over.
        :param fencing: number of this order.
        :returns: what became of it; ``applied`` only once no step runs.
        """

    async def install_map(self, expert_map: ExpertMap, fencing: int) -> bool:
        """Have the engine load a map beside the one in use.

        :param expert_map: the map.
        :param fencing: number of this order.
        :returns: whether the map is loaded; ask again until it is.
        """

    async def read_status(self) -> EngineStatus | None:
        """Read the engine's progress.

        :returns: its status, or ``None`` if it can't be reached.
        """


class TaskPort(Protocol):
    """Runs calls at the same time."""

    async def gather(
        self, calls: Sequence[Coroutine[Any, Any, Any]]
    ) -> list[Any]:
        """Run coroutines at the same time and wait for all.

        :param calls: the coroutines.
        :returns: their results in the order of ``calls``.
        """
