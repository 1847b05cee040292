"""Questions of a coordinator to the agents of its group."""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from typing import TYPE_CHECKING, Final, NamedTuple

import curio

from ospreyford.rebalance.datagrams import LARGE_MESSAGE_LINK_FRACTION
from ospreyford.rebalance.group import Order, Outcome, Prepare, Term
from ospreyford.rebalance.messages import (
    UNKNOWN_BASE,
    EncodedOrder,
    OrderRequest,
    OrderResponse,
    encode,
)
from ospreyford.rebalance.ordercodec import unpack_outcome
from ospreyford.rebalance.tree import TREE_DEGREE, compute_depth

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.broadcast import TreeBroadcast
    from ospreyford.rebalance.datagrams import Address, DatagramSocket

#: Time between two sendings of one question, in seconds: some round trips
#: between zones and the rank's own answer.
REPEAT_SECONDS: Final = 0.03
#: Time between two sendings, as a part of what one round of questions to all
#: ranks takes on this host's link.
ROUND_PART: Final = 1.5
#: An agent that has shown no sign of life after so many sendings is passed
#: over, and the rank itself is reached.
SIGNLESS_TRIES: Final = 5
#: How long an order other than a copy may take, in seconds.
ORDER_SECONDS: Final = 0.6
#: How long copying may take beyond the time of the copies, in seconds.
COPY_SECONDS: Final = 3.0


class Waiting:
    """A question that waits for its answer.

    :param number: of the question.
    :param term: in whose name it is asked.
    :param frames: the order in several forms, the shortest first; the next one
        is for an agent that does not know the map that the last one changes.
    """

    def __init__(
        self, number: int, term: Term, frames: Sequence[EncodedOrder]
    ) -> None:
        self._number = number
        self._term = term
        self._frames = list(frames)
        self.seen = False
        self.outcome: Outcome | None = None
        self.done = curio.Event()

    def make_question(self) -> bytes:
        """Make the question as it is sent now.

        :returns: the datagram's bytes.
        """
        return encode(OrderRequest(self._number, *self._term, self._frames[0]))

    async def take(self, answer: OrderResponse) -> None:
        """Take over an answer.

        :param answer: the answer.
        """
        self.seen = True
        if answer.outcome == UNKNOWN_BASE:
            if len(self._frames) > 1:
                self._frames.pop(0)
        elif answer.outcome is not None:
            self.outcome = unpack_outcome(answer)
            await self.done.set()


class _Spread(NamedTuple):
    """An order that was sent to all ranks through the tree of their agents.

    :param order: the order.
    :param term: whose order it is.
    :param number: of the question.
    :param until: when it should have arrived everywhere, in seconds on the
        monotonic clock.
    :param answers: that came before their ranks were asked, by host.
    """

    order: Order
    term: Term
    number: int
    until: float
    answers: dict[str, OrderResponse]


class Questions:
    """Asks agents to carry out orders, each one until it is answered.

    :param post: the process's datagrams.
    :param relays: sends a message to all agents.
    :param clock: source of time.
    """

    def __init__(
        self, post: DatagramSocket, relays: TreeBroadcast, clock: Clock
    ) -> None:
        self._post = post
        self._relays = relays
        self._clock = clock
        self._numbers = itertools.count(int(clock.wall() * 1000) << 8)
        self._turn = 0
        self._spread: _Spread | None = None
        self._waiting: dict[tuple[int, str], Waiting] = {}

    async def spread(
        self, order: Prepare, term: Term, frame: EncodedOrder, ranks: int
    ) -> None:
        """Send an order to all agents, through their tree.

        :param order: the order.
        :param term: whose order it is, and for which epoch.
        :param frame: the order as it is sent.
        :param ranks: of the group.
        """
        ask = OrderRequest(next(self._numbers), *term, frame)
        packet_seconds = len(encode(ask)) / (
            LARGE_MESSAGE_LINK_FRACTION * self._post.link_bytes
        )
        seconds = compute_depth(ranks) * (
            REPEAT_SECONDS + TREE_DEGREE * packet_seconds
        )
        until = self._clock.monotonic() + seconds
        self._spread = _Spread(order, term, ask.request_id, until, {})
        # Another tree each time: a lost inner agent holds up no rank for good.
        self._turn += 1
        await self._relays.broadcast(ask, self._turn)

    async def ask(
        self,
        address: Address,
        order: Order,
        term: Term,
        frames: Sequence[EncodedOrder],
    ) -> Waiting:
        """Ask an agent until it has answered, or time is up.

        :param address: of the agent.
        :param order: the order.
        :param term: whose order it is, and for which epoch.
        :param frames: the order as it is sent, the shortest form first.
        :returns: what came of it.
        """
        spread = self._find_spread(order, term)
        number = next(self._numbers) if spread is None else spread.number
        if spread is not None and isinstance(order, Prepare):
            # Who was reached by it knows the number.
            version = order.version
            frames = (
                EncodedOrder('Prepare', version, base_version=version),
                *frames,
            )
        waiting = Waiting(number, term, frames)
        key = (number, address[0])
        self._waiting[key] = waiting
        try:
            if spread is not None:
                await self._wait_for_spread(waiting, spread, address[0])
            await self._repeat(waiting, address, _tell_limit(order))
        finally:
            self._waiting.pop(key)
        return waiting

    async def note_answer(self, answer: OrderResponse, host: str) -> None:
        """Take over an agent's answer.

        :param answer: the answer.
        :param host: IP number of the agent's host.
        """
        waiting = self._waiting.get((answer.request_id, host))
        if waiting is not None:
            await waiting.take(answer)
        elif (
            self._spread is not None
            and self._spread.number == answer.request_id
        ):
            self._spread.answers[host] = answer

    def _find_spread(self, order: Order, term: Term) -> _Spread | None:
        spread = self._spread
        if spread is None or (spread.order, spread.term) != (order, term):
            return None
        return spread

    async def _wait_for_spread(
        self, waiting: Waiting, spread: _Spread, host: str
    ) -> None:
        early = spread.answers.pop(host, None)
        if early is not None:
            await waiting.take(early)
        left = spread.until - self._clock.monotonic()
        if left > 0:
            await curio.ignore_after(left, waiting.done.wait())

    async def _repeat(
        self, waiting: Waiting, address: Address, limit: float
    ) -> None:
        until = self._clock.monotonic() + limit
        tries = 0
        link_bytes = self._post.link_bytes
        while waiting.outcome is None and self._clock.monotonic() < until:
            if tries >= SIGNLESS_TRIES and not waiting.seen:
                return
            question = waiting.make_question()
            await self._post.send_paced(question, address)
            tries += 1
            # Many ranks are asked at once: repeated before the link has carried
            # the first round, large questions would never arrive.
            round_bytes = len(question) * max(len(self._waiting), 1)
            pause = max(REPEAT_SECONDS, ROUND_PART * round_bytes / link_bytes)
            await curio.ignore_after(pause, waiting.done.wait())


def _tell_limit(order: Order) -> float:
    return COPY_SECONDS if isinstance(order, Prepare) else ORDER_SECONDS
