"""Client for the expert loads of a rank group's engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

from ospreyford.http.client import fetch
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request
from ospreyford.placement.loads import ExpertLoads

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock

OK_STATUS = 200
_LOADS_REQUEST = Request('GET', '/expert-loads', ())


class LoadSource(Protocol):
    """Source of expert loads."""

    async def read(self) -> ExpertLoads | None:
        """Read the latest report.

        :returns: the report, or ``None`` if there is none.
        """


class EngineLoads(msgspec.Struct, frozen=True, kw_only=True):
    """Expert loads as reported by an engine.

    :param age_seconds: age of the report, in seconds.
    :param ranks: number of ranks whose counters are summed.
    :param tokens: token counts by layer and expert.
    """

    age_seconds: float
    ranks: int
    tokens: list[list[float]]


class HttpLoadSource:
    """Reads the expert loads from the engine over HTTP.

    :param address: the engine's IP address and port.
    :param clock: source of time.
    """

    def __init__(self, address: tuple[str, int], clock: Clock) -> None:
        self._address = address
        self._clock = clock

    async def read(self) -> ExpertLoads | None:
        """Read the latest report.

        :returns: the report, or ``None`` if the engine has none.
        """
        try:
            head, body = await fetch(self._address, _LOADS_REQUEST)
        except HttpError:
            return None
        if head.status != OK_STATUS:
            return None
        return self._decode(body)

    def _decode(self, body: bytes) -> ExpertLoads | None:
        try:
            report = msgspec.json.decode(body, type=EngineLoads)
        except (msgspec.MsgspecError, RecursionError):
            return None
        return ExpertLoads(
            received_at=self._clock.monotonic(),
            age_seconds=report.age_seconds,
            ranks=report.ranks,
            tokens=report.tokens,
        )
