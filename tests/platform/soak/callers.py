"""Callers that keep their connections for as long as they can be used."""

from __future__ import annotations

import itertools
import re
import time
from dataclasses import dataclass, field
from random import Random
from types import MappingProxyType
from typing import Final

import curio

from ospreyford.http.client import ClientConnection, fetch
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request
from ospreyford.platform.headernames import HEADER_NAMES
from ospreyford.platform.output import METRICS_PORT
from tests.platform.soak.record import EVENTS, STREAMS, Kind, Told

KEYS = ('k0', 'k1')
#: Deadlines of callers, in seconds.
DEADLINES: Final = MappingProxyType(
    {Kind.stream: 8.0, Kind.single: 8.0, Kind.unsafe: 4.0, Kind.safe: 4.0}
)
#: Callers wait for a little longer than they said.
SLACK_SECONDS = 1.0
#: Readiness checks in a row without a 200 that take an entry out.
MISSES = 2
CHECK_SECONDS = 1.0
MILLISECONDS = 1000
OK = 200


@dataclass
class Rotation:
    """Entries that get new connections, as the upstream balancer decides.

    :param fronts: addresses of the entries.
    :param checks: addresses for readiness checks.
    """

    fronts: list[tuple[str, int]]
    checks: list[tuple[str, int]]
    misses: dict[int, int] = field(default_factory=dict)

    def choose(self, random: Random) -> int:
        """Choose an entry for a new connection.

        :param random: source of the choice.
        :returns: its number.
        """
        entries = range(len(self.fronts))
        ready = [one for one in entries if self.misses.get(one, 0) < MISSES]
        return random.choice(ready or list(entries))

    async def check(self, entry: int) -> None:
        """Check an entry once a second.

        :param entry: its number.
        """
        while True:
            try:
                head, _ = await fetch(
                    self.checks[entry], Request('GET', '/ready', ()), timeout=1
                )
                is_ready = head.status == OK
            except HttpError:
                is_ready = False
            missed = self.misses.get(entry, 0)
            self.misses[entry] = 0 if is_ready else missed + 1
            await curio.sleep(CHECK_SECONDS)

    async def find_silent(self, hosts: list[str]) -> list[str]:
        """Find the agents that do not serve their metrics.

        :param hosts: IP addresses of the agents.
        :returns: those without an answer.
        """
        asked = Request('GET', '/metrics', ())
        silent = []
        for host in hosts:
            try:
                await fetch((host, METRICS_PORT), asked)
            except HttpError:
                silent.append(host)
        return silent


class Caller:
    """Sends one request after the other.

    :param number: of the caller.
    :param kinds: kinds of its requests, drawn evenly.
    :param rotation: entries for new connections.
    :param told: receives what it sees.
    :param random: source of kinds and pauses.
    """

    def __init__(
        self,
        number: int,
        kinds: tuple[Kind, ...],
        rotation: Rotation,
        told: list[Told],
        random: Random,
    ) -> None:
        self._number = number
        self._kinds = kinds
        self._rotation = rotation
        self._told = told
        self._random = random
        self._ids = itertools.count()
        self._connection: ClientConnection | None = None
        self._entry = 0
        self._requests = 0

    async def run(self, until: float, pause: float) -> None:
        """Send requests until the soak is over.

        :param until: end of the last request's beginning, on the monotonic
            clock.
        :param pause: longest pause between two requests, in seconds.
        """
        while time.monotonic() < until:
            if await self._connect():
                told = await self._ask(self._random.choice(self._kinds))
                self._told.append(told)
            await curio.sleep(self._random.uniform(0, pause))
        await self._close()

    async def is_served(self) -> bool:
        """Send a request.

        :returns: whether it was served.
        """
        if not await self._connect():
            return False
        told = await self._ask(self._kinds[0])
        return told.is_whole and told.status == OK

    async def _connect(self) -> bool:
        kept = self._connection
        if kept is not None and kept.is_quiet():
            return True
        await self._close()
        self._entry = self._rotation.choose(self._random)
        self._requests = 0
        try:
            self._connection = await ClientConnection.open(
                *self._rotation.fronts[self._entry], 1
            )
        except HttpError:
            return False
        return True

    async def _ask(self, kind: Kind) -> Told:
        assert self._connection is not None
        connection = self._connection
        request_id = f'{self._number}.{next(self._ids)}'
        self._requests += 1
        status, is_whole, error = 0, False, ''
        sent_at = time.time()
        try:
            async with curio.timeout_after(DEADLINES[kind] + SLACK_SECONDS):
                await connection.send(
                    make_request(kind, request_id), b'x' * 600
                )
                sent_at = time.time()
                head = await connection.read_head()
                status = head.status
                body = await connection.read_body()
                is_whole = status != OK or is_complete(kind, body)
        except HttpError as failure:
            error = type(failure).__name__
        except curio.TaskTimeout:
            error = 'timeout'
        told = Told(
            request_id,
            kind,
            self._entry,
            sent_at,
            time.time(),
            status,
            is_whole,
            self._requests,
            error,
        )
        if not is_whole or not connection.start_next_cycle():
            await self._close()
        return told

    async def _close(self) -> None:
        if self._connection is not None:
            await self._connection.close()
        self._connection = None


def make_request(kind: Kind, request_id: str) -> Request:
    """Make a request.

    :param kind: its kind.
    :param request_id: its id.
    :returns: the request.
    """
    deadline = int(DEADLINES[kind] * MILLISECONDS)
    headers = (
        (b'host', b'host.example'),
        (HEADER_NAMES.request_id, request_id.encode()),
        (HEADER_NAMES.key, KEYS[0].encode()),
        (HEADER_NAMES.deadline, str(deadline).encode()),
    )
    return Request('POST', f'/{kind.value}/x', headers)


def is_complete(kind: Kind, body: bytes) -> bool:
    """Check whether a successful answer is complete.

    :param kind: kind of the request.
    :param body: body of the answer.
    :returns: whether each event of a stream is there, once and in order.
    """
    if kind not in STREAMS:
        return bool(body)
    ids = [int(line) for line in re.findall(rb'id: (\d+)\n', body)]
    return ids == list(range(1, EVENTS + 1))
