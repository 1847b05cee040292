"""Orders of a coordinator, carried out on the rank beside an agent."""

from __future__ import annotations

import math
import time
from collections import OrderedDict
from typing import TYPE_CHECKING

import curio

from ospreyford.rebalance.decisions import OrderCarriedOut
from ospreyford.rebalance.frames import pack_outcome, read_map, unpack_order
from ospreyford.rebalance.group import Prepare, Term
from ospreyford.rebalance.mapcache import MapCache
from ospreyford.rebalance.messages import UNKNOWN_BASE, Ask, Tell

if TYPE_CHECKING:
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.rebalance.metrics import AgentMetrics
    from ospreyford.rebalance.participant import RankParticipant
    from ospreyford.rebalance.post import Address, Post

MILLISECONDS = 1000
#: Answers kept for questions that are repeated: more than one change asks.
ANSWERS_KEPT = 64
#: Time without a question after which no answer is missed, in seconds: some
#: sendings of one question.
QUIET_SECONDS = 0.15


class OrderDesk:
    """Carries out each question once, however often it is repeated.

    :param member: carries out orders on the rank.
    :param post: the process's datagrams.
    :param metrics: counts the outcomes.
    :param log: where outcomes go.
    """

    def __init__(
        self,
        member: RankParticipant,
        post: Post,
        metrics: AgentMetrics,
        log: ChangeLog,
    ) -> None:
        self._metrics = metrics
        self.maps = MapCache()
        self._member = member
        self._post = post
        self._log = log
        self._under_way = 0
        self._asked_at = -math.inf
        self._answers: OrderedDict[tuple[Address, int], Tell] = OrderedDict()

    def is_busy(self) -> bool:
        """Tell whether an order is under way, or its answer may be missed.

        :returns: whether the end of this process would leave a coordinator
            without an answer.
        """
        rested = time.monotonic() - self._asked_at
        return self._under_way > 0 or rested < QUIET_SECONDS

    async def take(self, ask: Ask, address: Address) -> None:
        """Take a question; its answer is sent when it is there.

        :param ask: the question.
        :param address: of the coordinator.
        """
        self._asked_at = time.monotonic()
        key = (address, ask.number)
        known = self._answers.get(key)
        if known is not None:
            # Also while it is under way: the coordinator learns that this
            # agent lives, and does not reach past it.
            await self._post.send(known, address)
            return
        frame = read_map(ask.order, self.maps)
        if frame is None:
            await self._post.send(Tell(ask.number, UNKNOWN_BASE), address)
            return
        self._answers[key] = Tell(ask.number, None)
        while len(self._answers) > ANSWERS_KEPT:
            self._answers.popitem(last=False)
        whole = Ask(ask.number, ask.token, ask.epoch, frame)
        self._under_way += 1
        await curio.spawn(self._serve, whole, address, daemon=True)

    async def _serve(self, ask: Ask, address: Address) -> None:
        try:
            await self._carry_out(ask, address)
        finally:
            self._under_way -= 1
            # The answer may be lost on its way: it is asked for again.
            self._asked_at = time.monotonic()

    async def _carry_out(self, ask: Ask, address: Address) -> None:
        began = time.monotonic()
        order = unpack_order(ask.order)
        if order is None:
            return
        if isinstance(order, Prepare):
            self.maps.put(order.version, order.experts)
        term = Term(ask.token, ask.epoch)
        outcome = await self._member.carry_out(order, term)
        answer = pack_outcome(ask.number, outcome)
        self._answers[address, ask.number] = answer
        await self._post.send(answer, address)
        name = type(outcome).__name__
        self._metrics.orders.labels(ask.order.kind, name).inc()
        self._log.log_change(
            OrderCarriedOut(
                order=ask.order.kind,
                version=ask.order.version,
                step=ask.order.step,
                token=ask.token,
                epoch=ask.epoch,
                outcome=name,
                took_ms=int((time.monotonic() - began) * MILLISECONDS),
            )
        )
