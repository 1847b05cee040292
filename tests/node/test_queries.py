from __future__ import annotations

from collections.abc import Callable

import curio
import msgspec
import pytest

from ospreyford.node.queries import (
    AgentStatus,
    gather_spans,
    make_spans_handler,
    query_status,
)
from ospreyford.observability.spans import Tracer, merge_spans
from ospreyford.ports.peers import Handler
from ospreyford.settings.sections import Identity, Traces

IDENTITY = Identity(name='host-1', instance='i-1', zone='a', region='north')
STATUS = AgentStatus(
    name='agent-1',
    incarnation='1',
    running=2,
    records=3,
    draining=('drain request',),
    revision=7,
)


class FakePeers:
    """Peers by address: one that answers, others broken or silent."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    def serve(self, topic: str, handler: Handler) -> None:
        raise NotImplementedError

    async def ask(
        self, address: str, topic: str, body: bytes, timeout: float
    ) -> bytes | None:
        match address:
            case 'agent:1':
                return await self._handler(body)
            case 'broken:1':
                return b'\xc1'
            case 'other:1':
                return msgspec.msgpack.encode([{'hop': 'nowhere'}])
            case _:
                return None


async def answer_status(body: bytes) -> bytes:
    return msgspec.msgpack.encode(STATUS)


@pytest.mark.parametrize(
    ('addresses', 'hops'),
    [
        ([], ['entry']),
        (['agent:1'], ['entry', 'agent', 'backend']),
        (['agent:1', 'agent:1'], ['entry', 'agent', 'backend']),
        (['silent:1', 'agent:1'], ['entry', 'agent', 'backend']),
        (['broken:1', 'other:1'], ['entry']),
    ],
)
def test_hops_of_agents(addresses: list[str], hops: list[str]) -> None:
    # A missing or malformed response must not fail the whole query.
    entry, agent = Tracer(Traces(), IDENTITY), Tracer(Traces(), IDENTITY)
    with entry.start('entry', 'r1') as hop:
        with agent.start('agent', 'r1', hop.context) as relay:
            agent.start('backend', 'r1', relay.context).end('answered')
    agent.start('agent', 'r2').end('answered')
    peers = FakePeers(make_spans_handler(agent.store))
    others = curio.run(gather_spans, peers, addresses, 'r1')
    spans = merge_spans((entry.store.find_request('r1'), others))
    assert [span.hop for span in spans] == hops


@pytest.mark.parametrize('body', [b'', b'\xff', b'x' * 10_000])
def test_any_question_for_spans(body: bytes) -> None:
    handler: Callable[[bytes], object] = make_spans_handler(
        Tracer(Traces(), IDENTITY).store
    )
    assert curio.run(handler, body) == msgspec.msgpack.encode([])


@pytest.mark.parametrize(
    ('address', 'status'),
    [('agent:1', STATUS), ('broken:1', None), ('other:1', None), ('x:1', None)],
)
def test_status(address: str, status: AgentStatus | None) -> None:
    peers = FakePeers(answer_status)
    assert curio.run(query_status, peers, address) == status
