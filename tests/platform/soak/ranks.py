"""Ranks that may be full, in a group that may be silent."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import TYPE_CHECKING

from ospreyford.platform.headernames import HEADER_NAMES
from ospreyford.platform.standins.rank import Rank
from ospreyford.platform.standins.rankgroup import RankGroup
from tests.platform.soak.record import Run

if TYPE_CHECKING:
    from ospreyford.http.server import Exchange

SLOTS = 12


class SoakGroup(RankGroup):
    """A group that begins no passes for some time, and may refuse requests.

    ``silent_until`` and ``crowded_until`` are times on the monotonic clock;
    ``runs`` receives the runs of its ranks.
    """

    silent_until: float = 0
    crowded_until: float = 0
    runs: list[Run]

    def _begin_pass(self) -> None:
        if time.monotonic() >= self.silent_until:
            super()._begin_pass()


class SoakRank(Rank):
    """A rank that refuses requests beyond its slots, and records runs."""

    group: SoakGroup

    async def refuse(self, exchange: Exchange) -> bool:
        """Refuse a request while the rank is full.

        :param exchange: the request.
        :returns: whether it was refused.
        """
        is_crowded = time.monotonic() < self.group.crowded_until
        if self.active < SLOTS and not is_crowded:
            return await super().refuse(exchange)
        await exchange.respond(
            HTTPStatus.SERVICE_UNAVAILABLE, b'', ((HEADER_NAMES.refused, b'1'),)
        )
        return True

    async def run_request(self, exchange: Exchange, request_id: bytes) -> None:
        """Run a request, and record when it began and ended.

        :param exchange: the request.
        :param request_id: the caller's request id.
        """
        run = Run(self.id, request_id.decode(), time.time())
        self.group.runs.append(run)
        try:
            await super().run_request(exchange, request_id)
            run.status = HTTPStatus.OK
        finally:
            run.ended_at = time.time()
