"""Direct access to ranks on other hosts, bypassing their agents."""

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
    from ospreyford.rebalance.groupengine import GroupEngine
    from ospreyford.rebalance.ports import Reply


class RemoteRanks:
    """Gives orders to ranks on other hosts.

    :param connect: returns the engine on a host as a member of the group, by
        its IP address.
    :param clock: source of time.
    """

    def __init__(
        self, connect: Callable[[str], GroupEngine | None], clock: Clock
    ) -> None:
        self._connect = connect
        self._clock = clock
        self._engines: dict[str, GroupEngine] = {}

    def find_engine(self, host: str) -> GroupEngine | None:
        """Find the engine of a rank.

        :param host: IP address of the rank's host.
        :returns: the engine, or ``None`` if there is none on that host.
        """
        engine = self._engines.get(host) or self._connect(host)
        if engine is not None:
            self._engines[host] = engine
        return engine

    async def give(
        self, engine: GroupEngine, order: Order, guard: Guard
    ) -> Reply:
        """Give a rank an order once, without reading its state first.

        :param engine: the rank's engine.
        :param order: the order.
        :param guard: preconditions checked by the rank.
        :returns: the rank's reply.
        """
        return await engine.send_order(order, guard)

    async def carry_out(self, host: str, order: Order, term: Term) -> Outcome:
        """Carry out an order in place of an unresponsive agent.

        :param host: IP address of the rank's host.
        :param order: the order.
        :param term: the coordinator's token and the group's epoch.
        :returns: the outcome of the order.
        """
        engine = self.find_engine(host)
        if engine is None:
            return Silent()
        participant = RankParticipant(engine, self._clock, is_local=False)
        return await participant.carry_out(order, term)
