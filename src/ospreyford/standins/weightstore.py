"""The weight store: bytes of experts under a rate limit.

``GET /v1/weights/{model}/{expert}`` answers the expert's bytes, or 429 with
``retry-after`` in whole seconds when the store's rate is used up. ``POST
/control`` takes ``{"bytes_per_second": n}`` and ``{"mode": "up" | "down"}``.
"""

from __future__ import annotations

import math
import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated, Literal

import msgspec

from ospreyford.http.server import Exchange
from ospreyford.standins.journal import Journal
from ospreyford.standins.process import (
    find_route,
    read_header,
    read_options,
    refuse,
    respond_journal,
    respond_json,
    run,
)

Mode = Literal['up', 'down']


@dataclass(frozen=True)
class WeightOptions:
    """Options; every expert is ``expert_bytes`` long."""

    port: int = 0
    expert_bytes: int = 65_536
    bytes_per_second: Annotated[float, msgspec.Meta(gt=0)] = 1_048_576


class Control(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /control``; fields left out stay as they are."""

    bytes_per_second: Annotated[float, msgspec.Meta(gt=0)] | None = None
    mode: Mode | None = None


class TokenBucket:
    """A rate limit that holds one second's worth of bytes, and starts full.

    :param rate: bytes a second.
    :param now: the clock's time, in seconds.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._level = rate
        self._at = now

    def take(self, size: int, now: float) -> float:
        """Take bytes, if the rate allows it.

        Bytes are lent once the bucket holds any, so that an expert larger
        than the bucket can be fetched at all; the debt delays the next one.

        :param size: bytes to take.
        :param now: the clock's time, in seconds.
        :returns: 0 if the bytes were taken, else seconds to wait.
        """
        gained = (now - self._at) * self._rate
        self._level = min(self._rate, self._level + gained)
        self._at = now
        if self._level <= 0:
            return max(1, -self._level / self._rate)
        self._level -= size
        return 0


class WeightStore:
    """The store's answers.

    :param options: the store's options.
    """

    def __init__(self, options: WeightOptions) -> None:
        self._size = options.expert_bytes
        self._journal = Journal()
        self._mode: Mode = 'up'
        self._bucket = TokenBucket(options.bytes_per_second, time.monotonic())

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request.

        :param exchange: the exchange to answer.
        """
        route = find_route(exchange.request)
        match (route.method, route.path):
            case ('GET', ('v1', 'weights', model, expert)):
                await self._fetch(exchange, model, expert)
            case ('POST', ('control',)):
                await self._control(exchange)
            case ('GET', ('journal',)):
                await respond_journal(exchange, self._journal)
            case _:
                await refuse(exchange, HTTPStatus.NOT_FOUND)

    async def _fetch(self, exchange: Exchange, model: str, expert: str) -> None:
        if self._mode == 'down':
            await refuse(exchange, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        wait = self._bucket.take(self._size, time.monotonic())
        self._journal.record(
            'refused' if wait else 'fetched',
            read_header(exchange, b'x-request-id'),
            model=model,
            expert=expert,
            size=0 if wait else self._size,
        )
        if wait:
            retry_after = (b'retry-after', str(math.ceil(wait)).encode())
            status = HTTPStatus.TOO_MANY_REQUESTS
            await exchange.respond(status, b'', (retry_after,))
        else:
            body = make_weights(model, expert, self._size)
            await exchange.respond(HTTPStatus.OK, body)

    async def _control(self, exchange: Exchange) -> None:
        body = await exchange.read_body()
        control = msgspec.json.decode(body, type=Control)
        self._mode = control.mode or self._mode
        if control.bytes_per_second is not None:
            rate = control.bytes_per_second
            self._bucket = TokenBucket(rate, time.monotonic())
        await respond_json(exchange, {})


def make_weights(model: str, expert: str, size: int) -> bytes:
    """Make the bytes of an expert.

    :param model: the model's name.
    :param expert: the expert's name.
    :param size: how many bytes.
    :returns: the same bytes in every process.
    """
    name = f'{model}/{expert};'.encode()
    return (name * (size // len(name) + 1))[:size]


def main() -> None:
    """Run the weight store."""
    options = read_options(WeightOptions)
    run(WeightStore(options).serve, options.port)


if __name__ == '__main__':
    main()
