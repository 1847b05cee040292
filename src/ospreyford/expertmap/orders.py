"""JSON bodies of the engine's HTTP interface."""

from __future__ import annotations

import msgspec

from ospreyford.expertmap.maps import ExpertMap, MapName
from ospreyford.expertmap.ports import EngineStatus, OrderOutcome
from ospreyford.ports.weights import Expert, Inventory


class GrantOrder(msgspec.Struct, frozen=True, kw_only=True, tag='grant'):
    """Allows the steps of a window with one map.

    :param rank: the engine's rank.
    :param fencing: the order's fencing number; the engine refuses orders that
        are not above the highest number seen.
    :param generation: number of the generation.
    :param map_name: the map.
    :param first_step: first step of the window.
    :param last_step: last step of the window, included.
    """

    rank: int
    fencing: int
    generation: int
    map_name: MapName
    first_step: int
    last_step: int


class HaltOrder(msgspec.Struct, frozen=True, kw_only=True, tag='halt'):
    """Revokes every grant."""

    rank: int
    fencing: int
    generation: int


class InstallOrder(msgspec.Struct, frozen=True, kw_only=True, tag='install'):
    """Loads a map beside the one in use."""

    rank: int
    fencing: int
    expert_map: ExpertMap


class LoadOrder(msgspec.Struct, frozen=True, kw_only=True, tag='load'):
    """Starts reading experts from the weight store."""

    rank: int
    fencing: int
    experts: tuple[Expert, ...]


class DropOrder(msgspec.Struct, frozen=True, kw_only=True, tag='drop'):
    """Frees the memory of experts."""

    rank: int
    fencing: int
    experts: tuple[Expert, ...]


AnyOrder = GrantOrder | HaltOrder | InstallOrder | LoadOrder | DropOrder


class OrderReply(msgspec.Struct, frozen=True):
    """Reply to an order.

    :param outcome: the outcome.
    :param loaded: for an install, whether the map is loaded.
    """

    outcome: OrderOutcome
    loaded: bool = False


class StatusReply(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /ranks/{rank}``; see :class:`EngineStatus`."""

    instance: str
    step: int
    granted_step: int
    fencing: int

    def to_status(self) -> EngineStatus:
        """Convert to the port's type.

        :returns: the status.
        """
        return EngineStatus(
            self.instance, self.step, self.granted_step, self.fencing
        )


class WeightsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /ranks/{rank}/weights``; see :class:`Inventory`."""

    instance: str
    step: int
    held: tuple[Expert, ...]
    loading: tuple[Expert, ...]
    refused: int
    failed: int
    retry_after: float
    read_bytes: int

    def to_inventory(self) -> Inventory:
        """Convert to the port's type.

        :returns: the inventory.
        """
        return Inventory(
            instance=self.instance,
            step=self.step,
            held=frozenset(self.held),
            loading=frozenset(self.loading),
            refused=self.refused,
            failed=self.failed,
            retry_after=self.retry_after,
            read_bytes=self.read_bytes,
        )
