"""The loads of a group's experts, read at the engine."""

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
    """Where the experts' loads come from."""

    async def read(self) -> ExpertLoads | None:
        """Read the last report.

        :returns: the report, or ``None`` if there is none.
        """


class EngineLoads(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine says of its experts.

    :param age_seconds: age of the figures.
    :param ranks: how many ranks' counters are summed.
    :param tokens: for each layer, for each expert, its tokens.
    """

    age_seconds: float
    ranks: int
    tokens: list[list[float]]


class HttpLoadSource:
    """Reads the experts' loads at the engine.

    :param address: the engine's IP number and port.
    :param clock: source of time.
    """

    def __init__(self, address: tuple[str, int], clock: Clock) -> None:
        self._address = address
        self._clock = clock

    async def read(self) -> ExpertLoads | None:
        """Read the last report.

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
