"""Fake rank group: the engine's rules, with faults to inject."""

from __future__ import annotations

from dataclasses import dataclass, field

from ospreyford.platform.standins.enginegroup import EngineGroup


@dataclass
class FakeGroup(EngineGroup):
    """A group whose ranks may be unreachable or check less."""

    disabled_guards: frozenset[str] = frozenset()
    unreachable: set[int] = field(default_factory=set)

    def is_enforced(self, guard: str) -> bool:
        return guard not in self.disabled_guards

    def reopen(self) -> None:
        """Restart the group in a new epoch with the initial map."""
        for rank in self.ranks:
            rank.restart()
        self.form(self.ranks, self.first_map)
