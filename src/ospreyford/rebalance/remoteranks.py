"""Ranks as reached from another host, past their agents."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ospreyford.rebalance.group import (
    Guard,
    Order,
    Outcome,
    Silent,
    Term,
)
from ospreyford.rebalance.participant import RankParticipant

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.ports import EnginePort, Reply


class RemoteRanks:
    """Gives orders to ranks from afar; each one costs.

    :param reach: reaches a rank by its host's IP number.
    :param clock: source of time.
    """

    def __init__(
        self, connect: Callable[[str], EnginePort | None], clock: Clock
    ) -> None:
        self._connect = connect
        self._clock = clock
        self._engines: dict[str, EnginePort] = {}

    def find_engine(self, host: str) -> EnginePort | None:
        """Find the way to a rank.

        :param host: IP number of its host.
        :returns: the rank, or ``None`` if it is not known.
        """
        engine = self._engines.get(host) or self._connect(host)
        if engine is not None:
            self._engines[host] = engine
        return engine

    async def give(
        self, engine: EnginePort, order: Order, guard: Guard
    ) -> Reply:
        """Give a rank an order once, without looking at it first.

        :param engine: the rank.
        :param order: the order.
        :param guard: what the rank checks first.
        :returns: its answer.
        """
        return await engine.send_order(order, guard)

    async def carry_out(self, host: str, order: Order, term: Term) -> Outcome:
        """Carry out an order in place of a silent agent.

        :param host: IP number of the rank's host.
        :param order: the order.
        :param term: whose order it is, and for which epoch.
        :returns: what came of it.
        """
        engine = self.find_engine(host)
        if engine is None:
            return Silent()
        member = RankParticipant(engine, self._clock, is_local=False)
        return await member.carry_out(order, term)
