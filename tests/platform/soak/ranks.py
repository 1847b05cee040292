"""Ranks that may be full, in a group that may be silent."""

from __future__ import annotations

import time
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING

import curio

from ospreyford.platform.headernames import HEADER_NAMES
from ospreyford.platform.standins.rank import Rank
from ospreyford.platform.standins.rankgroup import RankGroup
from tests.platform.soak.record import Run
from tests.platform.soak.servers import Faults

if TYPE_CHECKING:
    from ospreyford.http.server import Exchange

SLOTS = 12


class SoakGroup(RankGroup):
    """A group that begins no passes for some time, and may refuse requests.

    ``silent_until`` and ``crowded_until`` are times on the monotonic clock;
    ``runs`` receives the runs of its ranks, ``faults`` says what they do wrong,
    drawn by ``random``.
    """

    silent_until: float = 0
    crowded_until: float = 0
    runs: list[Run]
    faults: Faults
    random: Random

    def draw_endless(self) -> bool:
        """Draw whether an answer never ends.

        :returns: whether it does not.
        """
        return self.random.random() < self.faults.endless

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
        run.is_broken = self.group.draw_endless()
        try:
            if run.is_broken:
                await self._begin_without_end(exchange, request_id)
            await super().run_request(exchange, request_id)
            run.status = HTTPStatus.OK
        finally:
            run.ended_at = time.time()

    async def answer_probe(self, exchange: Exchange, body: bytes) -> bool:
        """Answer a call of an agent, perhaps without end.

        :param exchange: the call.
        :param body: its body.
        :returns: whether it was one.
        """
        is_read = exchange.request.method == 'GET'
        if is_read and self.group.draw_endless():
            await exchange.start(HTTPStatus.OK)
            await write_without_end(exchange)
        return await super().answer_probe(exchange, body)

    async def _begin_without_end(
        self, exchange: Exchange, request_id: bytes
    ) -> None:
        """Send an event that never ends.

        :raises ConnectionLost: the caller has closed the connection.
        """
        await exchange.start(HTTPStatus.OK, self.sign_answer(request_id))
        await write_without_end(exchange)


async def write_without_end(exchange: Exchange) -> None:
    """Write pieces until the caller closes the connection.

    :param exchange: the request.
    :raises ConnectionLost: the caller has closed it.
    """
    while True:
        await exchange.write(b'x' * 1000)
        await curio.sleep(0)
