"""A load generator as a process of its own, for the bench.

``POST /run`` takes a :class:`LoadPlan` and answers with a
:class:`LoadResult` when the plan is done. Nothing runs without a plan, and
each plan is bounded in time and in connections.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import curio
import msgspec
from hdrh.histogram import HdrHistogram

from ospreyford.http.client import ClientConnection
from ospreyford.http.errors import ConnectionLost, HttpError
from ospreyford.http.message import Request
from ospreyford.standins.process import (
    LOOPBACK,
    read_options,
    respond_json,
    run,
)
from ospreyford.wire.ids import create_id

if TYPE_CHECKING:
    from ospreyford.http.server import Exchange

MAX_SECONDS = 60
MAX_CONNECTIONS = 256
MAX_MICROSECONDS = 60_000_000
DIGITS = 3
MICROSECONDS = 1_000_000
CONNECT_SECONDS = 2.0
GRACE_SECONDS = 10.0
OK_STATUS = 200
MEDIAN = 50
LAST_IN_HUNDRED = 99


@dataclass(frozen=True)
class GeneratorOptions:
    """Options of the generator."""

    port: int = 0


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What to send, to whom, how often.

    :param port: where the requests go, on loopback.
    :param method: HTTP method.
    :param target: HTTP target.
    :param headers: header fields.
    :param body: the body as text.
    :param keyed: each request carries an idempotency key of its own.
    :param connections: requests under way at once.
    :param rate: requests a second over all connections, sent by the clock
        whether answers come or not; 0 sends each after the answer before it.
    :param seconds: how long.
    """

    port: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: str = ''
    keyed: bool = False
    connections: Annotated[int, msgspec.Meta(ge=1, le=MAX_CONNECTIONS)] = 1
    rate: float = 0
    seconds: Annotated[float, msgspec.Meta(gt=0, le=MAX_SECONDS)] = 1


class LoadResult(msgspec.Struct, frozen=True, kw_only=True):
    """What came of a plan; latencies of whole answers in microseconds.

    :param answered: requests with status 200 and a whole body.
    :param failed: the others.
    :param lines: lines in the answers' bodies; one a token in a stream.
    :param seconds: how long it took.
    :param p50: median latency; from the time of the schedule if there is one.
    :param p99: 99th percentile of the latency.
    """

    answered: int
    failed: int
    lines: int
    seconds: float
    p50: float
    p99: float


class Generator:
    """Sends one plan's requests.

    :param plan: what to send.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._body = plan.body.encode()
        self._fields = tuple(
            (name.encode(), content.encode()) for name, content in plan.headers
        )
        self._histogram = HdrHistogram(1, MAX_MICROSECONDS, DIGITS)
        self._answered = 0
        self._failed = 0
        self._lines = 0

    async def run(self) -> LoadResult:
        """Send for as long as the plan says.

        :returns: what came of it.
        """
        began = time.monotonic()
        bound = self._plan.seconds + GRACE_SECONDS
        async with curio.ignore_after(bound), curio.TaskGroup() as group:
            for number in range(self._plan.connections):
                await group.spawn(self._work, number, began)
        return LoadResult(
            answered=self._answered,
            failed=self._failed,
            lines=self._lines,
            seconds=time.monotonic() - began,
            p50=self._histogram.get_value_at_percentile(MEDIAN),
            p99=self._histogram.get_value_at_percentile(LAST_IN_HUNDRED),
        )

    async def _work(self, number: int, began: float) -> None:
        connection: ClientConnection | None = None
        turn = number
        while time.monotonic() < began + self._plan.seconds:
            due = await self._wait_for_turn(turn, began)
            turn += self._plan.connections
            try:
                connection = await self._exchange(connection, due)
            except HttpError:
                self._failed += 1
                connection = None
        if connection is not None:
            await connection.close()

    async def _wait_for_turn(self, turn: int, began: float) -> float:
        # A request that goes out late because the answer before it was late
        # counts from when it was due, or a stall would hide most of itself.
        if not self._plan.rate:
            return time.monotonic()
        due = began + turn / self._plan.rate
        await curio.sleep(max(due - time.monotonic(), 0))
        return due

    async def _exchange(
        self, connection: ClientConnection | None, due: float
    ) -> ClientConnection | None:
        if connection is None:
            connection = await ClientConnection.open(
                LOOPBACK, self._plan.port, CONNECT_SECONDS
            )
        await connection.send(self._make_request(), self._body)
        head = await connection.read_head()
        body = await connection.read_body()
        if head.status != OK_STATUS:
            raise ConnectionLost
        taken = (time.monotonic() - due) * MICROSECONDS
        self._histogram.record_value(int(taken))
        self._answered += 1
        self._lines += body.count(b'\n')
        if connection.start_next_cycle():
            return connection
        await connection.close()
        return None

    def _make_request(self) -> Request:
        fields = ((b'host', b'bench'), *self._fields)
        if self._plan.keyed:
            fields += ((b'idempotency-key', create_id().encode()),)
        return Request(self._plan.method, self._plan.target, fields)


async def serve(exchange: Exchange) -> None:
    """Run the plan that a request carries.

    :param exchange: the request.
    """
    body = await exchange.read_body()
    plan = msgspec.json.decode(body, type=LoadPlan)
    await respond_json(exchange, await Generator(plan).run())


def main() -> None:
    """Run the load generator."""
    run(serve, read_options(GeneratorOptions).port)


if __name__ == '__main__':
    main()
