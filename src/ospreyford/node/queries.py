"""Queries from entries to other processes on behalf of operators."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, TypeVar

import msgspec

from ospreyford.observability.spans import Span
from ospreyford.placement.explanation import PlanExplanation

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.observability.spans import SpanStore
    from ospreyford.ports.peers import Handler, PeerPort

QUERY_TIMEOUT_SECONDS = 0.5

Answer = TypeVar('Answer')

_spans_decoder = msgspec.msgpack.Decoder(list[Span])


class Topic(StrEnum):
    """Topics of the queries."""

    spans = 'spans'
    agent_status = 'agent-status'
    plan = 'plan'


class AgentStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of an agent.

    :param name: the backend server's name.
    :param incarnation: the agent's incarnation.
    :param running: unfinished requests.
    :param records: recorded executions and tombstones.
    :param draining: active drain sources; empty unless draining.
    :param revision: revision of the agent's configuration in force.
    """

    name: str
    incarnation: str
    running: int
    records: int
    draining: tuple[str, ...]
    revision: int


_plan_decoder = msgspec.msgpack.Decoder(PlanExplanation)
_status_decoder = msgspec.msgpack.Decoder(AgentStatus)


def make_spans_handler(store: SpanStore) -> Handler:
    """Make the handler for span queries.

    :param store: this process's spans.
    :returns: the handler for :attr:`Topic.spans`.
    """

    async def answer(body: bytes) -> bytes:  # noqa: WPS430 -- a handler
        request_id = body.decode('utf-8', 'replace')
        return msgspec.msgpack.encode(store.find_request(request_id))

    return answer


async def gather_spans(
    peers: PeerPort,
    addresses: Iterable[str],
    request_id: str,
) -> list[Span]:
    """Query other processes for the spans of a request.

    :param peers: messages to other processes.
    :param addresses: peer addresses to query.
    :param request_id: the request's id.
    :returns: the spans from all peers that responded.
    """
    found: list[Span] = []
    for address in addresses:
        query = request_id.encode()
        spans = await _query(peers, address, Topic.spans, _spans_decoder, query)
        found.extend(spans or ())
    return found


async def query_status(peers: PeerPort, address: str) -> AgentStatus | None:
    """Query an agent's status.

    :param peers: messages to other processes.
    :param address: the agent's peer address.
    :returns: the status, or ``None`` if the agent does not respond.
    """
    return await _query(peers, address, Topic.agent_status, _status_decoder)


async def query_plan(peers: PeerPort, address: str) -> PlanExplanation | None:
    """Query an agent's last placement evaluation.

    :param peers: messages to other processes.
    :param address: the agent's peer address.
    :returns: the explanation, or ``None`` if the agent has none.
    """
    return await _query(peers, address, Topic.plan, _plan_decoder)


async def _query(
    peers: PeerPort,
    address: str,
    topic: Topic,
    decoder: msgspec.msgpack.Decoder[Answer],
    query: bytes = b'',
) -> Answer | None:
    body = await peers.ask(address, topic, query, QUERY_TIMEOUT_SECONDS)
    if body is None:
        return None
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError:
        return None
