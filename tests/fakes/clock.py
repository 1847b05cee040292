"""A clock that the test moves."""

from __future__ import annotations

from dataclasses import dataclass

from tests.fakes.stepping import park

START_WALL = 1_800_000_000.0


@dataclass
class FakeClock:
    """Time stands still until the test advances it."""

    seconds: float = 1000.0
    wall_offset: float = START_WALL

    def monotonic(self) -> float:
        return self.seconds

    def wall(self) -> float:
        return self.seconds + self.wall_offset

    async def sleep(self, seconds: float) -> None:
        await park('sleep', seconds)

    def advance(self, seconds: float) -> None:
        self.seconds += seconds
