"""What one rank of a group knows of its map and of orders."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ospreyford.rebalance.group import Armed, ExpertMap, RankExperts

FIRST_MAP: Final[ExpertMap] = (((0,), (1,), (2,)),)


@dataclass
class EngineRank:
    """What one rank knows of orders.

    A map that is being copied counts as prepared once the copy is complete.
    """

    number: int
    version: int = 0
    experts: ExpertMap = FIRST_MAP
    highest_version: int = 0
    copying: tuple[int, ExpertMap] | None = None
    prepared: tuple[int, ExpertMap] | None = None
    armed: Armed | None = None
    held: int | None = None
    sequence: int = 0
    highest_token: int = 0
    born_ms: int = 0

    def switch_map(self) -> None:
        """Switch to the prepared map."""
        assert self.prepared is not None
        version, experts = self.prepared
        self.version = version
        self.experts = experts

    def list_experts(self) -> RankExperts:
        """List the experts that the rank holds.

        :returns: the experts of each set.
        """
        return tuple(of_set[self.number] for of_set in self.experts)

    def restart(self, born_ms: int = 0) -> None:
        """Forget orders and fences, as a new process does.

        :param born_ms: start of the process, in Unix milliseconds.
        """
        self.sequence = 0
        self.highest_token = 0
        self.highest_version = 0
        self.born_ms = born_ms

    def enter_epoch(self, number: int, experts: ExpertMap) -> None:
        """Take part in a group that forms, with its initial map.

        :param number: its rank there.
        :param experts: the initial map.
        """
        self.number = number
        self.version = 0
        self.experts = experts
        self.copying = None
        self.prepared = None
        self.armed = None
        self.held = None
