"""Stand-in of one rank: a replica that streams, reports and takes orders."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import curio
import msgspec

from ospreyford.http.errors import ConnectionLost
from ospreyford.http.message import find_header
from ospreyford.platform.headernames import HEADER_NAMES
from ospreyford.platform.standins.enginegroup import Verdict
from ospreyford.platform.standins.orders import (
    STATUS_BY_VERDICT,
    SeenOrder,
    decode_order,
)
from ospreyford.platform.standins.rankgroup import PICKS
from ospreyford.platform.standins.replicas import (
    PORT,
    Arrivals,
    Replica,
    ReplicaOptions,
)
from ospreyford.rebalance.group import Prepare

if TYPE_CHECKING:
    from ospreyford.http.server import Exchange
    from ospreyford.platform.standins.rankgroup import RankGroup
    from ospreyford.platform.standins.storestate import StoreState

MS_PER_SECOND: Final = 1000


class Rank(Replica):
    """One rank, as replica and as seen by its agent.

    :param number: its rank in the group.
    :param group: what the ranks share.
    :param options: how the replica behaves.
    :param store: the state of the store.
    :param arrivals: receives what the replica saw.
    """

    def __init__(
        self,
        number: int,
        group: RankGroup,
        options: ReplicaOptions,
        store: StoreState,
        arrivals: Arrivals,
    ) -> None:
        super().__init__(options, store, arrivals)
        self.group = group
        self.engine = group.engine.ranks[number]
        self.active = 0
        group.members.append(self)
        counts = group.options.sets * group.options.experts
        self._counts = [0 for _ in range(counts)]

    async def start(self, host: str, port: int = PORT) -> None:
        """Listen and register as a new process.

        :param host: IP address to listen on.
        :param port: the port.
        """
        self.engine.restart(int(time.time() * MS_PER_SECOND))
        self._counts = [0 for _ in self._counts]
        await super().start(host, port)
        await self.group.ensure_running()

    async def crash(self) -> None:
        """End at once, and close the group for all."""
        self.group.close()
        await super().crash()

    async def come_back(self) -> None:
        """Start again, and open the group."""
        await super().come_back()
        await self.group.open_again()

    def pick_experts(self, favourite: int) -> None:
        """Count the experts that this rank's requests choose in a pass.

        :param favourite: the expert that gets half of the choices.
        """
        experts = self.group.options.experts
        step = self.group.engine.step
        for chosen in range(self.active * PICKS):
            other = (step + chosen) % experts
            expert = favourite if chosen % 2 else other
            for start in range(0, len(self._counts), experts):
                self._counts[start + expert] += 1

    async def answer_probe(self, exchange: Exchange, body: bytes) -> bool:
        """Answer a call of an agent.

        :param exchange: the call.
        :param body: its body.
        :returns: whether it was one.
        """
        path, _, query = exchange.request.target.partition('?')
        match path:
            case '/report':
                await _respond_json(exchange, self._report())
            case '/picked' if query:
                await _respond_json(exchange, self._list_experts())
            case '/picked':
                engine = self.group.engine
                shown = {'step': engine.step, 'epoch': engine.epoch}
                await _respond_json(exchange, {**shown, 'Counts': self._counts})
            case '/order':
                status = await self._take_order(body)
                await exchange.respond(status, b'')
            case _:
                return False
        return True

    async def refuse(self, exchange: Exchange) -> bool:
        """Refuse a request while the group is closed, after a stall.

        :param exchange: the request.
        :returns: whether it was refused.
        """
        if self.group.is_open:
            return False
        await curio.sleep(self.group.options.stall_seconds)
        await exchange.respond(
            HTTPStatus.SERVICE_UNAVAILABLE,
            b'',
            ((HEADER_NAMES.refused, b'1'),),
        )
        return True

    async def run_request(self, exchange: Exchange, request_id: bytes) -> None:
        """Stream an event with each pass while the group is open.

        :param exchange: the request.
        :param request_id: the caller's request id.
        :raises ConnectionLost: the group was closed in the middle.
        """
        group = self.group
        epoch = group.epoch
        last = find_header(exchange.request.headers, HEADER_NAMES.last_event)
        await exchange.start(HTTPStatus.OK, self.sign_answer(request_id))
        self.active += 1
        try:
            for event in range(int(last or 0) + 1, group.options.events + 1):
                await _wait_for_event(group, epoch)
                await exchange.write(b'id: %d\ndata: x\n\n' % event)
        finally:
            self.active -= 1
        await exchange.finish()

    async def _take_order(self, body: bytes) -> HTTPStatus:
        engine = self.group.engine
        decoded = decode_order(body, engine.epoch)
        if decoded is None:
            return HTTPStatus.BAD_REQUEST
        order, guard = decoded
        number = self.engine.number
        verdict = engine.decide(number, order, guard)
        self.group.record.orders.append(
            SeenOrder(
                time.time(),
                self.address[0],
                engine.name,
                number,
                guard.token,
                type(order).__name__,
                verdict,
            )
        )
        if isinstance(order, Prepare) and verdict is Verdict.accepted:
            self.engine.copying = self.engine.prepared
            self.engine.prepared = None
            await curio.spawn(self._copy, order, daemon=True)
        return dict(STATUS_BY_VERDICT).get(verdict, HTTPStatus.CONFLICT)

    async def _copy(self, order: Prepare) -> None:
        await curio.sleep(self.group.options.copy_seconds)
        copying = self.engine.copying
        if copying is not None and copying[0] == order.version:
            self.engine.prepared = copying
            self.engine.copying = None

    def _report(self) -> dict[str, object]:
        group = self.group
        state = group.engine.read_state(self.engine.number)
        armed = state.armed
        return {
            'group': {
                'Name': state.group,
                'epoch': state.epoch,
                'rank': state.rank,
                'State': 'open' if group.is_open else 'broken',
            },
            'size': state.size,
            'step': state.step,
            'Sequence': state.sequence,
            'ExpertMap': state.version,
            'Prepared': state.prepared,
            'Armed': armed and {'Version': armed.version, 'step': armed.step},
            'held': state.held,
            'Active': self.active,
            'Queued': 0,
            'pace': 1,
            'born': state.born_ms,
        }

    def _list_experts(self) -> dict[str, object]:
        engine = self.engine
        in_force = {'Version': engine.version, 'Experts': engine.list_experts()}
        prepared = None
        if engine.prepared is not None:
            version, experts = engine.prepared
            mine = [of_set[engine.number] for of_set in experts]
            prepared = {'Version': version, 'Experts': mine}
        return {'ExpertMap': in_force, 'Prepared': prepared}


async def _wait_for_event(group: RankGroup, epoch: int) -> None:
    step = group.engine.step
    while group.engine.step == step:
        if not group.is_open or group.epoch != epoch:
            await curio.sleep(group.options.stall_seconds)
            raise ConnectionLost
        await group.wait_for_pass()


async def _respond_json(exchange: Exchange, shown: object) -> None:
    await exchange.respond(HTTPStatus.OK, msgspec.json.encode(shown))
