"""What an entry asks agents on behalf of operators."""

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
    """The topics of these questions."""

    spans = 'spans'
    agent_status = 'agent-status'
    plan = 'plan'


class AgentStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What an agent says of itself.

    :param name: the backend server's name.
    :param incarnation: the agent's incarnation.
    :param running: requests that run now.
    :param records: executions and tombstones remembered.
    :param draining: what asks for a drain; empty when work is taken.
    :param revision: revision of the configuration in force there.
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
    """Make the handler that hands over the spans of a request.

    :param store: this process's spans.
    :returns: the handler of :attr:`Topic.spans`.
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
    """Ask other processes for the spans of a request.

    :param peers: messages to other processes.
    :param addresses: whom to ask.
    :param request_id: the request.
    :returns: what those who answered know of it.
    """
    found: list[Span] = []
    for address in addresses:
        query = request_id.encode()
        spans = await _query(peers, address, Topic.spans, _spans_decoder, query)
        found.extend(spans or ())
    return found


async def query_status(peers: PeerPort, address: str) -> AgentStatus | None:
    """Ask an agent how it is.

    :param peers: messages to other processes.
    :param address: the agent's peer address.
    :returns: what it says, or ``None`` if it does not answer.
    """
    return await _query(peers, address, Topic.agent_status, _status_decoder)


async def query_plan(peers: PeerPort, address: str) -> PlanExplanation | None:
    """Ask an agent what the placement policy would move.

    :param peers: messages to other processes.
    :param address: the agent's peer address.
    :returns: the last judgement, or ``None`` where this agent makes none.
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
