"""What an agent passes on between entries."""

from __future__ import annotations

import time
from typing import Any

import curio
import pytest

from ospreyford.rebalance.entrymessages import Hello, HelloReply
from ospreyford.rebalance.entryregistry import EntryRegistry
from ospreyford.rebalance.messages import decode, encode
from ospreyford.rebalance.settings import AgentSettings

AGENT = AgentSettings(
    name='agent',
    zone='a',
    region='r',
    backend=('10.0.0.7', 80),
    datagrams=('10.0.0.7', 7340),
    metrics_port=0,
    grace_seconds=8,
)
ENTRY = ('10.0.1.1', 7340)


class Socket:
    """Records the replies."""

    def __init__(self) -> None:
        self.replies: list[Any] = []

    async def send(self, message: Any, address: Any) -> None:
        self.replies.append(decode(encode(message)))


class Agent:
    """An agent's registry with its own clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        monkeypatch.setattr(time, 'monotonic', lambda: self.now)
        self.socket = Socket()
        self.registry = EntryRegistry(AGENT, self.socket)  # type: ignore[arg-type]

    def greet(self, name: str, **told: int) -> HelloReply:
        hello = Hello(name, 's', 0, **told)  # type: ignore[arg-type]
        curio.run(self.registry.handle_hello, hello, ENTRY, None)
        reply = self.socket.replies[-1]
        assert isinstance(reply, HelloReply)
        return reply


def test_newest_version_outlives_the_entries_that_held_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Entries that start after all others were lost must learn of it."""
    agent = Agent(monkeypatch)
    agent.greet('first', version=7)
    agent.now += 60
    assert agent.greet('second', version=6).version == 7
    assert agent.greet('second', version=9).version == 9


def test_doubts_are_passed_on_until_they_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    agent = Agent(monkeypatch)
    agent.greet('first', settling_ms=4000)
    agent.now += 1
    assert agent.greet('second').settling_ms == 3000
    agent.now += 3
    assert agent.greet('second').settling_ms == 0


def test_older_hellos_are_understood(monkeypatch: pytest.MonkeyPatch) -> None:
    """Entries and agents are replaced one after the other."""
    assert Agent(monkeypatch).greet('first').version == 0


def test_entries_learn_their_position(monkeypatch: pytest.MonkeyPatch) -> None:
    """Entries that send in turn must not all take the same turn."""
    agent = Agent(monkeypatch)
    assert agent.greet('c').position == 0
    assert agent.greet('a').position == 0
    reply = agent.greet('c')
    assert (reply.position, reply.entries) == (1, 2)
    agent.now += 60
    assert agent.greet('c').position == 0
