"""Ports to the engine and to concurrent tasks."""

from __future__ import annotations

from collections.abc import Coroutine, Sequence
from enum import StrEnum
from typing import Any, NamedTuple, Protocol

from ospreyford.expertmap.maps import ExpertMap, MapName


class OrderOutcome(StrEnum):
    """Outcome of an order to an engine.

    ``refused`` means that the engine has seen a later fencing number;
    after ``unknown`` the order may still be applied.
    """

    applied = 'applied'
    refused = 'refused'
    unknown = 'unknown'


class Grant(NamedTuple):
    """Permission to run the steps of one window with one map.

    ``fencing`` increases with every order to the engine, also across
    processes; ``generation`` is the number of the generation.
    """

    generation: int
    fencing: int
    map_name: MapName
    first_step: int
    last_step: int


class EngineStatus(NamedTuple):
    """Progress of an engine.

    ``instance`` changes when the engine's process is replaced, ``step`` is
    the last step run, ``granted_step`` the last one granted and ``fencing``
    the highest fencing number seen.
    """

    instance: str
    step: int
    granted_step: int
    fencing: int


class EnginePort(Protocol):
    """The engine of this host's ranks; it runs no step without a grant."""

    async def grant(self, order: Grant) -> OrderOutcome:
        """Grant the steps of a window.

        :param order: the grant.
        :returns: the outcome.
        """

    async def halt(self, generation: int, fencing: int) -> OrderOutcome:
        """Revoke every grant, so that no further step runs.

        :param generation: number of the new generation.
        :param fencing: the order's fencing number.
        :returns: the outcome; ``applied`` only once no step runs.
        """

    async def install_map(self, expert_map: ExpertMap, fencing: int) -> bool:
        """Load a map beside the one in use.

        :param expert_map: the map.
        :param fencing: the order's fencing number.
        :returns: whether loading has finished; if not, call again.
        """

    async def read_status(self) -> EngineStatus | None:
        """Read the engine's progress.

        :returns: its status, or ``None`` if it is unreachable.
        """


class TaskPort(Protocol):
    """Runs coroutines concurrently."""

    async def gather(
        self, calls: Sequence[Coroutine[Any, Any, Any]]
    ) -> list[Any]:
        """Run coroutines concurrently and wait for all.

        :param calls: the coroutines.
        :returns: their results in the order of ``calls``.
        """
