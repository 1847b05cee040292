"""Idempotent execution of a coordinator's orders on an agent's rank."""

from __future__ import annotations

import math
import time
from collections import OrderedDict
from typing import TYPE_CHECKING

import curio

from ospreyford.rebalance.decisions import OrderCarriedOut
from ospreyford.rebalance.group import Prepare, Term
from ospreyford.rebalance.mapcache import MapCache
from ospreyford.rebalance.messages import (
    UNKNOWN_BASE,
    OrderRequest,
    OrderResponse,
)
from ospreyford.rebalance.ordercodec import (
    decode_order,
    encode_outcome,
    resolve_map,
)

if TYPE_CHECKING:
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.groupsocket import GroupSocket
    from ospreyford.rebalance.metrics import AgentMetrics
    from ospreyford.rebalance.participant import RankParticipant

MILLISECONDS_PER_SECOND = 1000
#: More than the number of orders in one map change.
MAX_CACHED_RESPONSES = 64
#: Several retransmission intervals of the coordinator.
RETRANSMIT_WINDOW_SECONDS = 0.15


class OrderExecutor:
    """Executes each request once and replays the response to retransmissions.

    :param participant: carries out orders on the rank.
    :param datagram_socket: sends messages to the group's agents.
    :param metrics: counts outcomes.
    :param log: logs outcomes.
    """

    def __init__(
        self,
        participant: RankParticipant,
        datagram_socket: GroupSocket,
        metrics: AgentMetrics,
        log: ChangeLog,
    ) -> None:
        self._metrics = metrics
        self.maps = MapCache()
        self._participant = participant
        self._datagram_socket = datagram_socket
        self._log = log
        self._in_flight = 0
        self._last_activity_at = -math.inf
        self._responses: OrderedDict[tuple[Address, int], OrderResponse] = (
            OrderedDict()
        )

    def is_busy(self) -> bool:
        """Check whether the coordinator may still wait for a response.

        :returns: whether an order is running or was requested recently.
        """
        idle_seconds = time.monotonic() - self._last_activity_at
        return self._in_flight > 0 or idle_seconds < RETRANSMIT_WINDOW_SECONDS

    async def handle_request(
        self, request: OrderRequest, address: Address
    ) -> None:
        """Handle a request; the response is sent on completion.

        :param request: the request.
        :param address: the coordinator's address.
        """
        self._last_activity_at = time.monotonic()
        key = (address, request.request_id)
        cached = self._responses.get(key)
        if cached is not None:
            # A pending response shows the coordinator that this agent is alive.
            await self._datagram_socket.send(cached, address)
            return
        resolved = resolve_map(request.order, self.maps)
        if resolved is None:
            await self._datagram_socket.send(
                OrderResponse(request.request_id, UNKNOWN_BASE), address
            )
            return
        self._responses[key] = OrderResponse(request.request_id, None)
        while len(self._responses) > MAX_CACHED_RESPONSES:
            self._responses.popitem(last=False)
        resolved_request = OrderRequest(
            request.request_id, request.token, request.epoch, resolved
        )
        self._in_flight += 1
        await curio.spawn(
            self._run_order, resolved_request, address, daemon=True
        )

    async def _run_order(self, request: OrderRequest, address: Address) -> None:
        try:
            await self._execute(request, address)
        finally:
            self._in_flight -= 1
            # The response may be lost and requested again.
            self._last_activity_at = time.monotonic()

    async def _execute(self, request: OrderRequest, address: Address) -> None:
        began = time.monotonic()
        order = decode_order(request.order)
        if order is None:
            return
        if isinstance(order, Prepare):
            self.maps.put(order.version, order.experts)
        term = Term(request.token, request.epoch)
        outcome = await self._participant.carry_out(order, term)
        response = encode_outcome(request.request_id, outcome)
        self._responses[address, request.request_id] = response
        await self._datagram_socket.send(response, address)
        name = type(outcome).__name__
        self._metrics.orders.labels(request.order.kind, name).inc()
        self._log.log_change(
            OrderCarriedOut(
                order=request.order.kind,
                version=request.order.version,
                step=request.order.step,
                token=request.token,
                epoch=request.epoch,
                outcome=name,
                took_ms=int(
                    (time.monotonic() - began) * MILLISECONDS_PER_SECOND
                ),
            )
        )
