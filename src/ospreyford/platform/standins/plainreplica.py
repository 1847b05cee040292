"""Stand-in of a replica of a plain service."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import curio

from ospreyford.platform.standins.replicas import Replica

if TYPE_CHECKING:
    from ospreyford.http.server import Exchange


class PlainReplica(Replica):
    """A replica of a plain service."""

    async def run_request(self, exchange: Exchange, request_id: bytes) -> None:
        """Run a request and answer it.

        :param exchange: the request.
        :param request_id: the caller's request id.
        """
        await curio.sleep(self._options.work_seconds)
        fields = self.sign_answer(request_id)
        await exchange.respond(HTTPStatus.OK, b'answer', fields)
