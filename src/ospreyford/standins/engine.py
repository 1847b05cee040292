"""A model engine: continuous batching, prefix cache, load with a lag.

``POST /v1/completions`` streams one JSON line for each token and ends with
``{"done": true, "tokens": n}``; a request that was cancelled ends with
``{"done": false, "tokens": n}``. The engine cancels a request when its
connection closes or on ``DELETE /v1/requests/{id}``. ``x-priority`` orders
the queue, higher first. ``GET /load`` and ``GET /cache-events?after=N`` tell
of the past, ``POST /orders`` takes orders, ``POST /control`` changes any
option of :class:`~ospreyford.standins.batch.EngineOptions` by name.
"""

from __future__ import annotations

import sys
from dataclasses import asdict
from http import HTTPStatus
from typing import Any

import curio
import msgspec

from ospreyford.http.errors import ConnectionLost
from ospreyford.http.server import Exchange
from ospreyford.standins.batch import (
    Batch,
    Completion,
    EngineOptions,
    Outcome,
    Running,
    make_token,
)
from ospreyford.standins.journal import Journal
from ospreyford.standins.process import (
    Route,
    find_route,
    read_header,
    read_options,
    refuse,
    respond_journal,
    respond_json,
    run,
)

HANGUP_POLL_SECONDS = 0.05
REQUEST_ID = b'x-request-id'
STREAM_TYPE = (b'content-type', b'application/x-ndjson')


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """The checked part of ``POST /orders``; the rest is journalled as is."""

    fencing: int
    order: str


class Token(msgspec.Struct, frozen=True):
    """One line of a stream."""

    index: int
    token: str


class Ending(msgspec.Struct, frozen=True):
    """The last line of a stream; without it the answer was cut."""

    done: bool
    tokens: int


class Engine:
    """The engine's answers.

    :param options: the engine's options.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.journal = Journal()
        self.batch = Batch(options, self.journal)
        self._fencing = 0

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request.

        :param exchange: the exchange to answer.
        """
        route = find_route(exchange.request)
        match (route.method, route.path):
            case ('POST', ('v1', 'completions')):
                await self._complete(exchange)
            case ('DELETE', ('v1', 'requests', request_id)):
                await self._cancel(exchange, request_id)
            case ('POST', ('orders',)):
                await self._obey(exchange)
            case ('POST', ('control',)):
                await self._control(exchange)
            case ('GET', (page,)):
                await self._report(exchange, page, route)
            case _:
                await refuse(exchange, HTTPStatus.NOT_FOUND)

    async def _report(
        self, exchange: Exchange, page: str, route: Route
    ) -> None:
        options = self.batch.options
        match page:
            case 'load':
                load = self.batch.load.read(options.load_lag_seconds)
                await respond_json(exchange, load)
            case 'cache-events':
                await self._tell_cache_events(exchange, route)
            case 'journal':
                await respond_journal(exchange, self.journal)
            case _:
                await refuse(exchange, HTTPStatus.NOT_FOUND)

    async def _complete(self, exchange: Exchange) -> None:
        body = await exchange.read_body()
        request = Running(
            read_header(exchange, REQUEST_ID),
            read_header(exchange, b'idempotency-key'),
            msgspec.json.decode(body, type=Completion),
        )
        header = read_header(exchange, b'x-priority') or '0'
        priority = msgspec.convert(header, int, strict=False)
        if self.batch.is_full:
            await refuse(exchange, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        await self.batch.add(request, priority)
        watcher = await curio.spawn(self._watch, exchange, request)
        try:
            await self._stream(exchange, request)
        finally:
            await self.batch.cancel((request,))
            await watcher.cancel()

    async def _watch(self, exchange: Exchange, request: Running) -> None:
        while not exchange.is_abandoned():
            await curio.sleep(HANGUP_POLL_SECONDS)
        await self.batch.cancel((request,))

    async def _stream(self, exchange: Exchange, request: Running) -> None:
        await request.ready.wait()
        self._cut_if_due(request)
        await exchange.start(HTTPStatus.OK, _head_of(request))
        sent = 0
        while sent < request.tokens or not request.is_over:
            request.ready.clear()
            made = min(request.tokens, self._token_limit)
            await exchange.write(_encode_tokens(request, sent, made))
            sent = made
            self._cut_if_due(request)
            if not request.is_over:
                await request.ready.wait()
        done = request.outcome is Outcome.finished
        await exchange.write(_encode_line(Ending(done, sent)))
        await exchange.finish()

    @property
    def _token_limit(self) -> int:
        limit = self.batch.options.cut_after_tokens
        return sys.maxsize if limit < 0 else limit

    def _cut_if_due(self, request: Running) -> None:
        if request.tokens >= self._token_limit:
            raise ConnectionLost

    async def _cancel(self, exchange: Exchange, request_id: str) -> None:
        ended = await self.batch.cancel(self.batch.find(request_id))
        if ended:
            await respond_json(exchange, {'cancelled': ended})
        else:
            await refuse(exchange, HTTPStatus.NOT_FOUND)

    async def _tell_cache_events(
        self, exchange: Exchange, route: Route
    ) -> None:
        options = self.batch.options
        after = msgspec.convert(
            route.query.get('after', '0'), int, strict=False
        )
        events = self.batch.cache.events_after(after, options.event_lag_seconds)
        gap = options.event_gap
        kept = [
            event for event in events if not (gap and event.number % gap == 0)
        ]
        await respond_json(exchange, {'events': kept})

    async def _obey(self, exchange: Exchange) -> None:
        body = await exchange.read_body()
        order = msgspec.json.decode(body, type=Order)
        text = body.decode()
        if self.batch.options.honour_fencing and order.fencing < self._fencing:
            self.journal.record(
                'order-refused', fencing=order.fencing, body=text
            )
            await refuse(exchange, HTTPStatus.CONFLICT)
            return
        self._fencing = max(self._fencing, order.fencing)
        self.journal.record(order.order, fencing=order.fencing, body=text)
        await respond_json(exchange, {'fencing': self._fencing})

    async def _control(self, exchange: Exchange) -> None:
        body = await exchange.read_body()
        changes = msgspec.json.decode(body, type=dict[str, Any])
        current = asdict(self.batch.options)
        if not changes.keys() <= current.keys():
            raise msgspec.ValidationError
        self.batch.options = msgspec.convert(
            {**current, **changes}, EngineOptions
        )
        await respond_json(exchange, {})


def _head_of(request: Running) -> tuple[tuple[bytes, bytes], ...]:
    hit = b'true' if request.prefix_hit else b'false'
    return (
        STREAM_TYPE,
        (REQUEST_ID, request.request_id.encode()),
        (b'x-prefix-hit', hit),
    )


def _encode_tokens(request: Running, start: int, stop: int) -> bytes:
    lines = [
        _encode_line(
            Token(
                index, make_token(request.request_id, request.completion, index)
            )
        )
        for index in range(start, stop)
    ]
    return b''.join(lines)


def _encode_line(line: Token | Ending) -> bytes:
    return b'%s\n' % msgspec.json.encode(line)


def main() -> None:
    """Run the model engine."""
    options = read_options(EngineOptions)
    engine = Engine(options)
    run(engine.serve, options.port, engine.batch.work)


if __name__ == '__main__':
    main()
