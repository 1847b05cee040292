"""Forwarding of one stream from as many backends as it takes."""

from __future__ import annotations

import time
from contextlib import aclosing
from functools import partial
from typing import TYPE_CHECKING

from ospreyford.direct.beginnings import AnswerBeginning
from ospreyford.direct.headers import drop_hop_by_hop
from ospreyford.direct.streaming import (
    StreamForwarder,
    StreamResult,
    TakenOver,
)

if TYPE_CHECKING:
    from ospreyford.direct.attempts import BackendAttempt
    from ospreyford.direct.call import Call
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.migration import StreamMigrator
    from ospreyford.direct.takeover import StreamTakeover
    from ospreyford.http.message import Response
    from ospreyford.http.server import Exchange


class StreamRelay:
    """Forwards a stream, and lets other backends take it over.

    :param call: the request.
    :param exchange: the caller's response channel.
    :param context: shared state of the entry.
    :param takeover: searches for another backend.
    :param migrator: decides on migrations.
    :param in_group: whether the backends are ranks of a group.
    """

    def __init__(
        self,
        call: Call,
        exchange: Exchange,
        context: EntryContext,
        takeover: StreamTakeover,
        migrator: StreamMigrator,
        *,
        in_group: bool,
    ) -> None:
        self._call = call
        self._exchange = exchange
        self._suspects = context.suspects
        self._buffers = context.pool.reading.buffers
        self._in_group = in_group
        self._takeover = takeover
        self._migrator = migrator

    async def forward(self, head: Response, attempt: BackendAttempt) -> bool:
        """Forward a stream that a backend has begun.

        :param head: head of its response.
        :param attempt: the attempt; the caller closes it.
        :returns: whether the stream is complete; otherwise it broke off.
        """
        if self._call.room is not None:
            self._call.room.record_start()
        if not self._exchange.started:
            fields = tuple(drop_hop_by_hop(head.headers))
            self._exchange.add((self._exchange.make_head(head.status, fields),))
        return await self._forward(attempt)

    async def _forward(self, attempt: BackendAttempt) -> bool:
        beginning = AnswerBeginning(
            self._call.cursor,
            partial(self._suspects.record_answer, self._call),
        )
        forwarder = StreamForwarder(
            self._call,
            attempt,
            self._exchange,
            self._takeover,
            self._buffers,
            partial(self._migrator.should_migrate, attempt.backend),
        )
        ended = await forwarder.run(beginning)
        if isinstance(ended, TakenOver):
            async with aclosing(ended.successor):
                await self._leave(attempt, ended, beginning)
                return await self._forward(ended.successor)
        attempt.record.details += (ended.value,)
        if ended is StreamResult.whole:
            attempt.backend.record_success()
            self._suspects.record_answer(self._call)
            await self._exchange.finish()
            return True
        attempt.backend.record_failure(time.monotonic())
        await self._record_loss(attempt, beginning)
        return False

    async def _leave(
        self,
        attempt: BackendAttempt,
        taken: TakenOver,
        beginning: AnswerBeginning,
    ) -> None:
        if taken.is_migrated:
            attempt.record.outcome = 'Moved'
        else:
            attempt.record.outcome = 'Silent'
            await self._record_loss(attempt, beginning)
        await attempt.aclose()

    async def _record_loss(
        self, attempt: BackendAttempt, beginning: AnswerBeginning
    ) -> None:
        if not beginning.is_over:
            await self._suspects.record_loss(
                self._call, attempt.backend, in_group=self._in_group
            )
