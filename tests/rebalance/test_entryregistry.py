"""What an agent passes on between entries."""

from __future__ import annotations

import time
from typing import Any

import curio
import pytest

from ospreyford.rebalance.entrymessages import Hello, HelloReply
from ospreyford.rebalance.entryregistry import (
    ENTRY_TIMEOUT_SECONDS,
    EntryRegistry,
)
from ospreyford.rebalance.group import RankState
from ospreyford.rebalance.groupkey import GroupKey
from ospreyford.rebalance.messages import decode, encode
from ospreyford.rebalance.settings import AgentSettings
from tests.rebalance.test_ranks import make_state

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
        return self.hear(Hello(name, 's', 0, **told), None)  # type: ignore[arg-type]

    def hear(self, hello: Hello, state: RankState | None) -> HelloReply:
        curio.run(self.registry.handle_hello, hello, ENTRY, state)
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


def make_hello(entry: str = 'e', **told: Any) -> Hello:
    given: dict[str, Any] = {
        'service': 's',
        'digest': 5,
        'members': (AGENT.backend,),
        'group': 'g',
    }
    return Hello(entry, **(given | told))


OWN_STATE = make_state()
#: What a hello tells, the rank's state, and whether its list is taken.
LISTS: tuple[Any, ...] = (
    ({}, OWN_STATE, True),
    ({'group': 'h'}, OWN_STATE, False),
    ({'group': ''}, OWN_STATE, False),
    ({'service': 't'}, OWN_STATE, False),
    ({'group': ''}, OWN_STATE._replace(group=''), False),
    ({}, None, False),
)


@pytest.mark.parametrize(('told', 'state', 'is_taken'), LISTS)
def test_list_is_taken_from_an_entry_that_knows_the_group(
    monkeypatch: pytest.MonkeyPatch,
    told: dict[str, Any],
    state: RankState | None,
    *,
    is_taken: bool,
) -> None:
    """Guards against members of another group or service."""
    agent = Agent(monkeypatch)
    agent.greet('first')
    agent.hear(make_hello(**told), state)
    key = GroupKey('s', 'g')
    assert (agent.registry.find_roster(key) is not None) is is_taken
    asked = agent.hear(make_hello(**told, digest=6, members=None), state)
    assert asked.needs_members is is_taken
    assert asked.group == getattr(state, 'group', '')


def test_list_of_the_old_group_is_not_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    agent = Agent(monkeypatch)
    own, other = GroupKey('s', 'g'), GroupKey('s', 'h')
    assert agent.hear(make_hello(), OWN_STATE).digest == 5
    agent.registry.record_group('h')
    assert agent.registry.find_roster(own) is None
    moved = OWN_STATE._replace(group='h')
    assert agent.hear(make_hello(members=None), moved).digest == 0
    told = make_hello(group='h', unassigned=(('10.0.0.9', 80),))
    agent.hear(told, moved)
    roster = agent.registry.find_roster(other)
    assert roster is not None
    assert roster.members == (AGENT.datagrams,)
    assert roster.unassigned == (('10.0.0.9', AGENT.datagrams[1]),)
    assert roster.find_backend('10.0.0.9') == ('10.0.0.9', 80)
    agent.registry.record_group('g')
    assert agent.registry.find_roster(own) is None


def test_service_does_not_flap(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a session for each hello of two lists in turn."""
    agent = Agent(monkeypatch)
    for _ in range(9):
        agent.now += ENTRY_TIMEOUT_SECONDS / 2
        agent.hear(make_hello(), OWN_STATE)
        agent.hear(make_hello('other', service='t'), OWN_STATE)
        assert agent.registry.service == 's'
    agent.now += ENTRY_TIMEOUT_SECONDS + 0.1
    agent.hear(make_hello('other', service='t'), OWN_STATE)
    assert agent.registry.service == 't'
    assert agent.registry.find_roster(GroupKey('s', 'g')) is None


def test_entries_are_told_a_change_of_group_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    agent = Agent(monkeypatch)
    agent.hear(make_hello('a'), OWN_STATE)
    agent.hear(make_hello('b', groups=7), OWN_STATE)
    assert agent.registry.count_groups() == 7
    agent.socket.replies.clear()
    assert agent.registry.record_group('h')
    assert not agent.registry.record_group('h')
    moved = OWN_STATE._replace(group='h')
    curio.run(agent.registry.announce_group, moved)
    told = [(one.group, one.position) for one in agent.socket.replies]
    assert told == [('h', 0), ('h', 1)]
