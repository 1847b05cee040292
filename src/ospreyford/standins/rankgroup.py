"""A rank group in lock-step; its journal says which map each step used.

``POST /orders`` takes the orders of :mod:`ospreyford.expertmap.orders`,
``GET /ranks/{rank}`` tells a rank's progress and ``GET
/ranks/{rank}/weights`` what it holds. ``GET /journal`` has an entry ``step``
for each rank and step, with the number of experts that the rank lacked for
it, ``loaded`` and ``dropped`` for weights. ``POST /control`` with
``{"restart": rank}`` puts a fresh engine in a rank's place; with
``{"loads": [[tokens, ...], ...]}`` it sets what ``GET /expert-loads`` tells.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from http import HTTPStatus

import curio
import msgspec

from ospreyford.expertmap.orders import (
    AnyOrder,
    DropOrder,
    GrantOrder,
    HaltOrder,
    InstallOrder,
    LoadOrder,
    OrderReply,
    StatusReply,
)
from ospreyford.expertmap.ports import Grant, OrderOutcome
from ospreyford.http.server import Exchange
from ospreyford.ports.weights import Expert
from ospreyford.standins.journal import Journal
from ospreyford.standins.process import (
    find_route,
    read_options,
    refuse,
    respond_journal,
    respond_json,
    run,
)
from ospreyford.standins.rankengine import RankEngine
from ospreyford.standins.rankmemory import StoreReader


@dataclass(frozen=True)
class RankGroupOptions:
    """Options of the rank group; ``ignoring`` is a rank, or -1 for none.

    ``weights_port`` is the weight store's; with 0 experts come at once.
    """

    port: int = 0
    ranks: int = 3
    step_seconds: float = 0.005
    ignoring: int = -1
    weights_port: int = 0
    model: str = 'model'


class Control(msgspec.Struct, frozen=True):
    """Body of ``POST /control``: a rank to restart, or new expert loads."""

    restart: int | None = None
    loads: list[list[float]] | None = None


class RankGroup:
    """The engines of all ranks of one group.

    :param options: the group's options.
    """

    def __init__(self, options: RankGroupOptions) -> None:
        self.journal = Journal()
        self._options = options
        self._starts = 0
        self._reading: set[str] = set()
        self._loads: list[list[float]] = []
        self._engines = [
            self._make_engine(rank) for rank in range(options.ranks)
        ]

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request.

        :param exchange: the exchange to answer.
        """
        route = find_route(exchange.request)
        match (route.method, route.path):
            case ('POST', ('orders',)):
                await self._take_order(exchange)
            case ('GET', ('ranks', rank)):
                status = self._engines[int(rank)].read_status()
                await respond_json(exchange, StatusReply(**status._asdict()))
            case ('GET', ('ranks', rank, 'weights')):
                inventory = self._engines[int(rank)].read_weights()
                await respond_json(exchange, inventory._asdict())
            case ('GET', ('expert-loads',)):
                await self._tell_loads(exchange)
            case ('POST', ('control',)):
                await self._control(exchange)
            case ('GET', ('journal',)):
                await respond_journal(exchange, self.journal)
            case _:
                await refuse(exchange, HTTPStatus.NOT_FOUND)

    async def step_forever(self) -> None:
        """Run one step after the other, as far as every rank may."""
        while True:
            await curio.sleep(self._options.step_seconds)
            self.run_step()

    def run_step(self) -> bool:
        """Run the next step if every rank has a grant for it.

        :returns: whether a step was run.
        """
        steps = [engine.next_step() for engine in self._engines]
        known = [step for step in steps if step is not None]
        if len(known) < len(steps):
            return False
        grants = [engine.find_grant(max(known)) for engine in self._engines]
        covering = [grant for grant in grants if grant is not None]
        if len(covering) < len(grants):
            return False
        for rank, grant in enumerate(covering):
            self._record_step(rank, max(known), grant)
        return True

    def _record_step(self, rank: int, step: int, grant: Grant) -> None:
        self._engines[rank].step = step
        self.journal.record(
            'step',
            rank=rank,
            step=step,
            revision=grant.map_name.revision,
            digest=grant.map_name.digest,
            generation=grant.generation,
            lacks=len(self._engines[rank].find_lacks(grant.map_name, rank)),
        )

    async def _take_order(self, exchange: Exchange) -> None:
        body = await exchange.read_body()
        order: AnyOrder = msgspec.json.decode(body, type=AnyOrder)
        await respond_json(exchange, self._apply(order))
        if isinstance(order, LoadOrder):
            await self._read_weights(order.rank)

    async def _read_weights(self, rank: int) -> None:
        engine = self._engines[rank]
        if engine.instance in self._reading:
            return
        reader = StoreReader(
            self._options.weights_port,
            self._options.model,
            partial(self._note_loaded, rank),
        )
        self._reading.add(engine.instance)
        try:
            await reader.read_all(engine.memory)
        finally:
            self._reading.discard(engine.instance)

    def _note_loaded(self, rank: int, expert: Expert, size: int) -> None:
        name = f'{expert.layer}-{expert.expert}'
        self.journal.record('loaded', rank=rank, expert=name, size=size)

    def _apply(self, order: AnyOrder) -> OrderReply:
        engine = self._engines[order.rank]
        match order:
            case GrantOrder():
                grant = Grant(
                    order.generation,
                    order.fencing,
                    order.map_name,
                    order.first_step,
                    order.last_step,
                )
                return OrderReply(engine.grant(grant))
            case HaltOrder():
                return OrderReply(engine.halt(order.fencing))
            case InstallOrder():
                loaded = engine.install(order.expert_map, order.fencing)
                return OrderReply(OrderOutcome.applied, loaded)
            case LoadOrder():
                return OrderReply(engine.load(order.experts, order.fencing))
            case DropOrder():
                outcome = engine.drop(order.experts, order.fencing)
                if outcome is OrderOutcome.applied:
                    self._note_dropped(order)
                return OrderReply(outcome)

    def _note_dropped(self, order: DropOrder) -> None:
        for one in order.experts:
            name = f'{one.layer}-{one.expert}'
            self.journal.record('dropped', rank=order.rank, expert=name)

    async def _control(self, exchange: Exchange) -> None:
        body = await exchange.read_body()
        control = msgspec.json.decode(body, type=Control)
        if control.restart is not None:
            old = self._engines[control.restart]
            # A process that ends reads nothing more.
            old.memory.queue.clear()
            self._engines[control.restart] = self._make_engine(control.restart)
        if control.loads is not None:
            self._loads = control.loads
        await respond_json(exchange, {})

    async def _tell_loads(self, exchange: Exchange) -> None:
        if not self._loads:
            await refuse(exchange, HTTPStatus.NOT_FOUND)
            return
        report = {
            'age_seconds': 0,
            'ranks': len(self._engines),
            'tokens': self._loads,
        }
        await respond_json(exchange, report)

    def _make_engine(self, rank: int) -> RankEngine:
        self._starts += 1
        honours = rank != self._options.ignoring
        return RankEngine(f'{rank}-{self._starts}', honours)


def main() -> None:
    """Run the rank group."""
    options = read_options(RankGroupOptions)
    group = RankGroup(options)
    run(group.serve, options.port, group.step_forever)


if __name__ == '__main__':
    main()
