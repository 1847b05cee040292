"""Fake rank group: the engine's rules, with faults to inject."""

from __future__ import annotations

from dataclasses import dataclass, field

from ospreyford.platform.standins.enginegroup import EngineGroup
from ospreyford.platform.standins.enginerank import EngineRank
from ospreyford.rebalance.mapdelta import build_initial_map


@dataclass
class FakeGroup(EngineGroup):
    """A group whose ranks may be unreachable or check less."""

    disabled_guards: frozenset[str] = frozenset()
    unreachable: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.first_map = build_initial_map(1, self.size, self.size)
        super().__post_init__()

    def is_enforced(self, guard: str) -> bool:
        return guard not in self.disabled_guards

    def reopen(self, size: int | None = None) -> None:
        """Restart the group in a new epoch with the initial map."""
        ranks = self.size if size is None else size
        self.form(
            [EngineRank(number) for number in range(ranks)],
            build_initial_map(1, ranks, ranks),
        )
