"""Hops of one request that other processes recorded."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ospreyford.observability.admin import (
    NothingFound,
    Query,
    require_parameter,
)
from ospreyford.observability.spans import Span, merge_spans

if TYPE_CHECKING:
    from ospreyford.observability.spans import OpenSpan, SpanStore
    from ospreyford.ports.peers import PeerPort

TOPIC = 'spans'
#: Attribute of an entry's span: peer addresses of the agents it tried.
AGENTS = 'agents'
ASK_SECONDS = 0.5
#: Spans in one answer, and agents asked for one request: a request id that
#: a caller sends again and again must not make the answer grow.
MAX_SPANS = 64
MAX_AGENTS = 8
MAX_ID_BYTES = 256

_decoder = msgspec.msgpack.Decoder(list[Span])


class SpanExchange:
    """Answers for this process's spans and collects those of others.

    :param store: the spans of this process.
    :param peers: reaches the other processes.
    """

    def __init__(self, store: SpanStore, peers: PeerPort) -> None:
        self._store = store
        self._peers = peers
        peers.serve(TOPIC, self._answer)

    async def collect(self, request_id: str) -> list[Span]:
        """Find the hops of a request, here and at the agents it went to.

        :param request_id: the request.
        :returns: its spans by start; those of a silent agent are missing.
        """
        own = self._store.find_request(request_id)
        others = [
            await self._ask(address, request_id)
            for address in _list_agents(own)
        ]
        return merge_spans([own, *others])

    async def _answer(self, body: bytes) -> bytes | None:
        if len(body) > MAX_ID_BYTES:
            return None
        found = self._store.find_request(body.decode(errors='replace'))
        return msgspec.msgpack.encode(found[:MAX_SPANS])

    async def _ask(self, address: str, request_id: str) -> list[Span]:
        body = request_id.encode(errors='replace')
        answer = await self._peers.ask(address, TOPIC, body, ASK_SECONDS)
        if answer is None:
            return []
        try:
            return _decoder.decode(answer)
        except msgspec.DecodeError:
            return []


class TraceView:
    """Answers ``/traces?request=ID``.

    :param exchange: finds the spans.
    """

    def __init__(self, exchange: SpanExchange) -> None:
        self._exchange = exchange

    async def __call__(self, query: Query) -> list[Span]:
        """Find the hops of a request.

        :param query: names the request.
        :returns: its spans, by start.
        :raises BadQuery: no request named.
        :raises NothingFound: no span kept here.
        """
        wanted = require_parameter(query, 'request', 'a request id')
        found = await self._exchange.collect(wanted)
        if not found:
            raise NothingFound(f'no span of request {wanted} is kept here')
        return found


def note_agent(span: OpenSpan, address: str) -> None:
    """Note in an entry's span that an agent is tried.

    :param span: the entry's span under way.
    :param address: the agent's peer address.
    """
    tried = str(span.attributes.get(AGENTS, '')).split()
    if address not in tried:
        span.attributes[AGENTS] = ' '.join([*tried, address])


def _list_agents(spans: list[Span]) -> list[str]:
    noted = ' '.join(str(span.attributes.get(AGENTS, '')) for span in spans)
    return list(dict.fromkeys(noted.split()))[:MAX_AGENTS]
