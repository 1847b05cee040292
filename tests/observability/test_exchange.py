from __future__ import annotations

import curio
import pytest

from ospreyford.observability.admin import BadQuery, NothingFound
from ospreyford.observability.exchange import (
    SpanExchange,
    TraceView,
    note_agent,
)
from ospreyford.observability.spans import Tracer
from ospreyford.ports.peers import Handler
from ospreyford.settings.sections import Identity, Traces

IDENTITY = Identity(name='entry-1', instance='i-1', zone='a', region='north')


class FakePeers:
    """One peer that answers as told; ``None`` is silence."""

    def __init__(self) -> None:
        self.handlers: dict[str, Handler] = {}
        self.answers: dict[str, bytes | None] = {}
        self.linked: dict[str, FakePeers] = {}
        self.asked: list[str] = []

    def serve(self, topic: str, handler: Handler) -> None:
        self.handlers[topic] = handler

    async def ask(
        self, address: str, topic: str, body: bytes, timeout: float
    ) -> bytes | None:
        self.asked.append(address)
        linked = self.linked.get(address)
        if linked is None:
            return self.answers.get(address)
        return await linked.handlers[topic](body)


def record(tracer: Tracer, agents: list[str]) -> None:
    with tracer.start('entry', 'r1') as span:
        for agent in agents:
            note_agent(span, agent)


@pytest.mark.parametrize(
    ('agents', 'hops', 'asked'),
    [
        ([], ['entry'], 0),
        (['agent:1'], ['entry', 'agent'], 1),
        (['silent:1', 'agent:1', 'agent:1'], ['entry', 'agent'], 2),
        (['broken:1'], ['entry'], 1),
        ([f'silent:{number}' for number in range(30)], ['entry'], 8),
    ],
)
def test_collect(agents: list[str], hops: list[str], asked: int) -> None:
    entry, agent = Tracer(Traces(), IDENTITY), Tracer(Traces(), IDENTITY)
    here, there = FakePeers(), FakePeers()
    here.linked['agent:1'] = there
    here.answers['broken:1'] = b'\xc1'
    SpanExchange(agent.store, there)
    view = TraceView(SpanExchange(entry.store, here))
    record(entry, agents)
    agent.start('agent', 'r1').end('answered')
    agent.start('agent', 'r2').end('answered')
    found = curio.run(view({'request': 'r1'}))
    assert [span.hop for span in found] == hops
    assert len(here.asked) == asked


def test_nothing_found() -> None:
    view = TraceView(
        SpanExchange(Tracer(Traces(), IDENTITY).store, FakePeers())
    )
    with pytest.raises(NothingFound):
        curio.run(view({'request': 'r1'}))
    with pytest.raises(BadQuery):
        curio.run(view({}))


@pytest.mark.parametrize(
    ('body', 'expected'),
    [(b'', b'\x90'), (b'\xff', b'\x90'), (b'x' * 257, None)],
)
def test_any_question(body: bytes, expected: bytes | None) -> None:
    peers = FakePeers()
    SpanExchange(Tracer(Traces(), IDENTITY).store, peers)
    assert curio.run(peers.handlers['spans'](body)) == expected
