"""Stand-in of a group of ranks that stream in step and fail together."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final, NamedTuple

import curio
import msgspec

from ospreyford.http.errors import ConnectionLost
from ospreyford.http.message import find_header
from ospreyford.platform.headernames import HEADER_NAMES
from ospreyford.platform.standins.replicas import (
    Arrivals,
    Replica,
    ReplicaOptions,
)

if TYPE_CHECKING:
    from ospreyford.http.server import Exchange
    from ospreyford.platform.standins.storestate import StoreState

#: Counts of experts in a rank's answer; the group has one set of four.
COUNTS: Final = (0, 0, 0, 0)
EVENTS: Final = 5


class GroupOptions(NamedTuple):
    """How a group behaves.

    :param ranks: number of ranks.
    :param pass_seconds: time between two events of a stream.
    :param stall_seconds: time from a crash until the other ranks fail.
    :param form_seconds: time from the crashed rank's return to the opening.
    """

    ranks: int
    pass_seconds: float = 0.02
    stall_seconds: float = 0.4
    form_seconds: float = 0.5


class RankGroup:
    """What the ranks of a group share.

    :param options: how it behaves.
    """

    def __init__(self, options: GroupOptions) -> None:
        self.options = options
        self.epoch = 1
        self.is_open = True
        #: Times that a crash closed the group.
        self.closings = 0

    def close(self) -> None:
        """Close the group after a crash."""
        if self.is_open:
            self.closings += 1
        self.is_open = False

    async def open_again(self) -> None:
        """Open the group after the crashed rank is back."""
        await curio.sleep(self.options.form_seconds)
        self.epoch += 1
        self.is_open = True


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
        self._number = number
        self._group = group
        self._active = 0

    async def crash(self) -> None:
        """End at once, and close the group for all."""
        self._group.close()
        await super().crash()

    async def come_back(self) -> None:
        """Start again, and open the group."""
        await super().come_back()
        await self._group.open_again()

    async def answer_probe(self, exchange: Exchange) -> bool:
        """Answer a call of an agent.

        :param exchange: the call.
        :returns: whether it was one.
        """
        match exchange.request.target.partition('?')[0]:
            case '/report':
                await _respond_json(exchange, self._report())
            case '/picked':
                shown = {'step': 1, 'epoch': self._group.epoch}
                await _respond_json(exchange, {**shown, 'Counts': COUNTS})
            case '/order':
                await exchange.respond(HTTPStatus.CONFLICT, b'')
            case _:
                return False
        return True

    async def refuse(self, exchange: Exchange) -> bool:
        """Refuse a request while the group is closed, after a stall.

        :param exchange: the request.
        :returns: whether it was refused.
        """
        if self._group.is_open:
            return False
        await curio.sleep(self._group.options.stall_seconds)
        await exchange.respond(
            HTTPStatus.SERVICE_UNAVAILABLE,
            b'',
            ((HEADER_NAMES.refused, b'1'),),
        )
        return True

    async def run_request(self, exchange: Exchange, request_id: bytes) -> None:
        """Stream events while the group is open.

        :param exchange: the request.
        :param request_id: the caller's request id.
        :raises ConnectionLost: the group was closed in the middle.
        """
        group = self._group
        options = group.options
        epoch = group.epoch
        last = find_header(exchange.request.headers, HEADER_NAMES.last_event)
        await exchange.start(HTTPStatus.OK, self.sign_answer(request_id))
        self._active += 1
        try:
            for event in range(int(last or 0) + 1, EVENTS + 1):
                await curio.sleep(options.pass_seconds)
                if not group.is_open or group.epoch != epoch:
                    await curio.sleep(options.stall_seconds)
                    raise ConnectionLost
                await exchange.write(b'id: %d\ndata: x\n\n' % event)
        finally:
            self._active -= 1
        await exchange.finish()

    def _report(self) -> dict[str, object]:
        group = self._group
        return {
            'group': {
                'Name': 'g',
                'epoch': group.epoch,
                'rank': self._number,
                'State': 'open' if group.is_open else 'broken',
            },
            'size': group.options.ranks,
            'step': 1,
            'Sequence': 0,
            'ExpertMap': 0,
            'Active': self._active,
            'Queued': 0,
            'pace': 1,
        }


async def _respond_json(exchange: Exchange, shown: object) -> None:
    await exchange.respond(HTTPStatus.OK, msgspec.json.encode(shown))
