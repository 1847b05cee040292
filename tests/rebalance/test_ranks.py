"""Access of a coordinator to the ranks of its group."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import curio
import pytest

from ospreyford.rebalance.broadcast import TreeBroadcast
from ospreyford.rebalance.group import (
    Done,
    Fenced,
    Guard,
    Hold,
    Order,
    RankState,
    Rejected,
    Term,
)
from ospreyford.rebalance.messages import OrderRequest, decode_member
from ospreyford.rebalance.ordercodec import encode_outcome
from ospreyford.rebalance.ports import Reply
from ospreyford.rebalance.rankloads import list_rank_loads
from ospreyford.rebalance.ranks import GroupRanks
from tests.fakes.clock import FakeClock

TERM = Term(token=900, epoch=1)
STEP = 41
AGENT_ADDRESS = ('10.0.0.2', 7000)
#: Without members, it sends nothing.
EMPTY_BROADCAST = TreeBroadcast(('10.0.0.1', 7000), None)  # type: ignore[arg-type]


def make_state(rank: int = 1) -> RankState:
    return RankState(
        group='g',
        epoch=TERM.epoch,
        rank=rank,
        size=2,
        is_open=True,
        step=STEP - 1,
        sequence=6,
        version=3,
        prepared=None,
        armed=None,
        held=None,
        active=0,
        queued=0,
        pace=1,
    )


@dataclass
class Engine:
    """Engine that gives each order the same reply."""

    reply: Reply
    orders: list[tuple[Order, Guard]] = field(default_factory=list)

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        self.orders.append((order, guard))
        return self.reply


@dataclass
class RejectingAgent:
    """Agent that rejects all orders."""

    ranks: Any = None
    link_bytes: float = float('inf')
    requests: list[OrderRequest] = field(default_factory=list)

    async def send_paced(self, datagram: bytes, address: Any) -> None:
        message = decode_member(datagram)
        assert isinstance(message, OrderRequest)
        assert address == AGENT_ADDRESS
        self.requests.append(message)
        refusal = encode_outcome(message.request_id, Rejected(make_state()))
        await self.ranks.order_client.handle_response(refusal, AGENT_ADDRESS[0])


def make_ranks(clock: FakeClock) -> GroupRanks:
    return GroupRanks(
        0,
        '10.0.0.1',
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        lambda _: None,
        clock,
        EMPTY_BROADCAST,
    )


def test_rank_of_silent_agent_is_marked_silent() -> None:
    """Guards against routing to a frozen rank by its stale load."""
    clock = FakeClock()
    ranks = make_ranks(clock)
    ranks.record_report(make_state(), AGENT_ADDRESS)
    assert [one.is_silent for one in list_rank_loads(ranks)] == [False]
    clock.advance(1)
    assert [one.is_silent for one in list_rank_loads(ranks)] == [True]
    ranks.record_report(make_state(), AGENT_ADDRESS)
    assert [one.is_silent for one in list_rank_loads(ranks)] == [False]


async def hold(reply: Reply) -> tuple[Any, Engine, RejectingAgent, GroupRanks]:
    engine = Engine(reply)
    agent = RejectingAgent()
    ranks = GroupRanks(
        0,
        '10.0.0.1',
        None,  # type: ignore[arg-type]
        agent,  # type: ignore[arg-type]
        lambda host: engine if host == AGENT_ADDRESS[0] else None,  # type: ignore[arg-type,return-value]
        FakeClock(),
        EMPTY_BROADCAST,
    )
    agent.ranks = ranks
    ranks.record_report(make_state(), AGENT_ADDRESS)
    outcome = await ranks.carry_out(1, Hold(STEP), TERM)
    return outcome, engine, agent, ranks


#: Changes to a known state, and whether the changed one replaces it.
STATE_UPDATES = (
    ({'sequence': 5}, False),
    ({'sequence': 7}, True),
    # Restarted within the epoch.
    ({'sequence': 0, 'step': 0, 'born_ms': 2000}, True),
    ({'sequence': 9, 'born_ms': 500}, False),
    ({'sequence': 0, 'step': 0, 'epoch': TERM.epoch + 1}, True),
)


@pytest.mark.parametrize(('changed', 'is_accepted'), STATE_UPDATES)
def test_older_state_is_accepted_only_after_a_restart(
    changed: dict[str, int], *, is_accepted: bool
) -> None:
    """Guards against ignoring a restarted rank with a sequence of zero."""
    ranks = make_ranks(FakeClock())
    known = make_state()._replace(born_ms=1000)
    reported = known._replace(**changed)  # type: ignore[arg-type]
    ranks.record_state(known)
    ranks.record_state(reported)
    assert (ranks.read_states()[1] == reported) is is_accepted


def test_coordinator_holds_a_pass_directly() -> None:
    """Guards against a pass held by an agent whose host then freezes."""
    outcome, engine, agent, ranks = curio.run(hold, Reply.accepted)
    assert isinstance(outcome, Done)
    assert not agent.requests
    assert engine.orders == [(Hold(STEP), Guard(*TERM, 6))]
    state = ranks.read_states()[1]
    assert (state.held, state.sequence) == (STEP, 7)


@pytest.mark.parametrize(
    ('reply', 'kind', 'asks_agent'),
    [
        (Reply.already_applied, Done, False),
        (Reply.fenced, Fenced, False),
        (Reply.no_answer, Rejected, True),
        (Reply.rejected, Rejected, True),
    ],
)
def test_inconclusive_hold_is_sent_through_the_agent(
    reply: Reply, kind: type, asks_agent: bool
) -> None:
    outcome, engine, agent, _ = curio.run(hold, reply)
    assert isinstance(outcome, kind)
    assert len(engine.orders) == 1
    assert bool(agent.requests) is asks_agent
