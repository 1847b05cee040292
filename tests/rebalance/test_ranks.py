"""How a coordinator reaches the ranks of its group."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import curio
import pytest

from ospreyford.rebalance.frames import pack_outcome
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
from ospreyford.rebalance.messages import Ask, decode
from ospreyford.rebalance.ports import Reply
from ospreyford.rebalance.rankloads import list_loads
from ospreyford.rebalance.ranks import GroupRanks
from ospreyford.rebalance.relays import Relays
from tests.fakes.clock import FakeClock

TERM = Term(token=900, epoch=1)
STEP = 41
AGENT = ('10.0.0.2', 7000)
#: Reaches no agent: there are no members.
NO_RELAYS = Relays(('10.0.0.1', 7000), None)  # type: ignore[arg-type]


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
    """A rank that answers each order alike."""

    reply: Reply
    orders: list[tuple[Order, Guard]] = field(default_factory=list)

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        self.orders.append((order, guard))
        return self.reply


@dataclass
class Agent:
    """The agent beside the rank: it refuses whatever it is asked."""

    ranks: Any = None
    link_bytes: float = float('inf')
    asked: list[Ask] = field(default_factory=list)

    async def send_paced(self, datagram: bytes, address: Any) -> None:
        message = decode(datagram)
        assert isinstance(message, Ask)
        assert address == AGENT
        self.asked.append(message)
        refusal = pack_outcome(message.number, Rejected(make_state()))
        await self.ranks.questions.note_answer(refusal, AGENT[0])


def make_ranks(clock: FakeClock) -> GroupRanks:
    return GroupRanks(
        0,
        '10.0.0.1',
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        lambda _: None,
        clock,
        NO_RELAYS,
    )


def test_a_rank_whose_agent_is_silent_is_told_as_such() -> None:
    """Seven requests hung until their callers left.

    Sequence: a host freezes with the rank beside it; the coordinator goes on
    telling that rank's last figures, of one with little to do. Cause: nothing
    said that they were old, so the entries chose it first.
    """
    clock = FakeClock()
    ranks = make_ranks(clock)
    ranks.note_report(make_state(), AGENT)
    assert [one.is_silent for one in list_loads(ranks)] == [False]
    clock.advance(1)
    assert [one.is_silent for one in list_loads(ranks)] == [True]
    ranks.note_report(make_state(), AGENT)
    assert [one.is_silent for one in list_loads(ranks)] == [False]


async def hold(reply: Reply) -> tuple[Any, Engine, Agent, GroupRanks]:
    engine = Engine(reply)
    agent = Agent()
    ranks = GroupRanks(
        0,
        '10.0.0.1',
        None,  # type: ignore[arg-type]
        agent,  # type: ignore[arg-type]
        lambda host: engine if host == AGENT[0] else None,  # type: ignore[arg-type,return-value]
        FakeClock(),
        NO_RELAYS,
    )
    agent.ranks = ranks
    ranks.note_report(make_state(), AGENT)
    outcome = await ranks.carry_out(1, Hold(STEP), TERM)
    return outcome, engine, agent, ranks


#: By what is known already: whether a later report of the same rank counts.
ORDERS = (
    ({'sequence': 5}, False),
    ({'sequence': 7}, True),
    # It started again within the epoch: it has accepted nothing yet.
    ({'sequence': 0, 'step': 0, 'born_ms': 2000}, True),
    ({'sequence': 9, 'born_ms': 500}, False),
    ({'sequence': 0, 'step': 0, 'epoch': TERM.epoch + 1}, True),
)


@pytest.mark.parametrize(('changed', 'counts'), ORDERS)
def test_a_rank_goes_back_only_with_a_new_start(
    changed: dict[str, int], *, counts: bool
) -> None:
    """A group could not be changed until a rank had caught up with its past.

    Sequence: a rank starts again under its id, its number of accepted orders
    begins at zero, and its reports of the same epoch look older than those of
    the process before. Cause: states were ordered by that number alone.
    """
    ranks = make_ranks(FakeClock())
    known = make_state()._replace(born_ms=1000)
    told = known._replace(**changed)  # type: ignore[arg-type]
    ranks.note_state(known)
    ranks.note_state(told)
    assert (ranks.read_states()[1] == told) is counts


def test_a_pass_is_held_by_the_coordinator_itself() -> None:
    """A group stood still for four seconds, and 190 requests were refused.

    Sequence: the coordinator asks the agent beside a rank to hold a pass; that
    agent's host freezes with the hold just given. Cause: the freeze takes the
    rank out of reach, and nobody else can let the pass begin. Given from the
    coordinator's host, the hold stays in reach whichever host freezes.
    """
    outcome, engine, agent, ranks = curio.run(hold, Reply.accepted)
    assert isinstance(outcome, Done)
    assert not agent.asked
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
def test_an_unclear_hold_goes_through_the_agent(
    reply: Reply, kind: type, asks_agent: bool
) -> None:
    outcome, engine, agent, _ = curio.run(hold, reply)
    assert isinstance(outcome, kind)
    assert len(engine.orders) == 1
    assert bool(agent.asked) is asks_agent
