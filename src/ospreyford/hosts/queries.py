"""Queries for single listings to the zone's readers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from ospreyford.hosts.messages import (
    HOST_QUERY_TOPIC,
    HostKey,
    HostResponse,
    decode,
)
from ospreyford.hosts.reader import JITTER_SHARE, READERS_PER_ZONE, TERM_SECONDS

if TYPE_CHECKING:
    import random

    from ospreyford.distribution.members import Neighbours
    from ospreyford.hosts.known import KnownHosts
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.peers import PeerPort

QUERY_TIMEOUT_SECONDS: Final = 0.5
MAX_QUERIES_PER_REQUEST: Final = 16
MIN_INTERVAL_SECONDS: Final = 2.0
MAX_INTERVAL_SECONDS: Final = 30.0


class HostQueries:
    """Queries peers for missing listings, and responds to their queries.

    :param known: the hosts.
    :param neighbours: elects the readers.
    :param peers: transport to other processes.
    :param clock: source of time.
    :param rng: random numbers.
    """

    def __init__(
        self,
        known: KnownHosts,
        neighbours: Neighbours,
        peers: PeerPort,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._known = known
        self._neighbours = neighbours
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._interval_seconds = MIN_INTERVAL_SECONDS
        self._queries: list[HostKey] = []
        peers.serve(HOST_QUERY_TOPIC, self.handle_queries)

    async def run(self) -> None:
        """Query forever."""
        while True:
            await self.run_once()

    async def run_once(self) -> None:
        """Query one reader, if any listing is missing, and sleep."""
        previous = self._queries
        self._queries = self._known.list_queries()
        is_new = await self._send_queries() or self._queries != previous
        # Back off: queries about dead hosts that are still listed repeat.
        self._interval_seconds = (
            MIN_INTERVAL_SECONDS
            if is_new
            else min(2 * self._interval_seconds, MAX_INTERVAL_SECONDS)
        )
        if not self._queries:
            self._interval_seconds = MIN_INTERVAL_SECONDS
        jitter = 1 + JITTER_SHARE * (2 * self._rng.random() - 1)
        await self._clock.sleep(self._interval_seconds * jitter)

    async def handle_queries(self, body: bytes) -> bytes | None:
        """Respond to another process.

        :param body: the encoded queries.
        :returns: the encoded response; ``None`` if the request is malformed.
        """
        queries = decode(body, tuple[HostKey, ...])
        if queries is None:
            return None
        now = self._clock.monotonic()
        response = self._known.build_response(
            queries[:MAX_QUERIES_PER_REQUEST], now
        )
        return msgspec.msgpack.encode(response)

    async def _send_queries(self) -> bool:
        # Readers of the current term may not have read the list yet.
        term = int(self._clock.wall() // TERM_SECONDS) - 1
        readers = self._neighbours.list_reader_addresses(READERS_PER_ZONE, term)
        if not readers or not self._queries:
            return False
        size = min(MAX_QUERIES_PER_REQUEST, len(self._queries))
        queries = tuple(self._rng.sample(self._queries, size))
        body = await self._peers.ask(
            self._rng.choice(readers),
            HOST_QUERY_TOPIC,
            msgspec.msgpack.encode(queries),
            QUERY_TIMEOUT_SECONDS,
        )
        response = None if body is None else decode(body, HostResponse)
        return response is not None and self._known.handle_response(
            queries, response
        )
