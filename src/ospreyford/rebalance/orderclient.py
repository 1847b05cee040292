"""Requests of a coordinator that agents carry out orders."""

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
from ospreyford.rebalance.ordercodec import decode_outcome
from ospreyford.rebalance.tree import TREE_DEGREE, compute_depth

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.broadcast import TreeBroadcast
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.groupsocket import GroupSocket

#: Several round trips between zones.
RETRANSMIT_SECONDS: Final = 0.03
#: Minimum retransmission interval relative to the duration of one round.
RETRANSMIT_ROUND_RATIO: Final = 1.5
#: After this many sends without any response, the rank is contacted directly.
MAX_UNANSWERED_SENDS: Final = 5
ORDER_TIMEOUT_SECONDS: Final = 0.6
PREPARE_TIMEOUT_SECONDS: Final = 3.0


class PendingRequest:
    """A request that waits for its response.

    :param request_id: ID of the request.
    :param term: the coordinator's term.
    :param encodings: alternative encodings of the order, the shortest first;
        the next one is used if the agent lacks the base map.
    """

    def __init__(
        self, request_id: int, term: Term, encodings: Sequence[EncodedOrder]
    ) -> None:
        self._request_id = request_id
        self._term = term
        self._encodings = list(encodings)
        self.is_acknowledged = False
        self.outcome: Outcome | None = None
        self.done = curio.Event()

    def encode_request(self) -> bytes:
        """Encode the request with the current encoding of its order.

        :returns: the encoded datagram.
        """
        return encode(
            OrderRequest(self._request_id, *self._term, self._encodings[0])
        )

    async def handle_response(self, response: OrderResponse) -> None:
        """Handle a response.

        :param response: the response.
        """
        self.is_acknowledged = True
        if response.outcome == UNKNOWN_BASE:
            if len(self._encodings) > 1:
                self._encodings.pop(0)
        elif response.outcome is not None:
            self.outcome = decode_outcome(response)
            await self.done.set()


class _OrderBroadcast(NamedTuple):
    """An order that was broadcast along the tree of agents.

    :param order: the order.
    :param term: the coordinator's term.
    :param request_id: ID of the request.
    :param deadline: expected time of delivery to all agents, in seconds on the
        monotonic clock.
    :param early_responses: responses received before the request for
        their agent was started, by host.
    """

    order: Order
    term: Term
    request_id: int
    deadline: float
    early_responses: dict[str, OrderResponse]


class OrderClient:
    """Requests orders from agents and retransmits until they respond.

    :param datagram_socket: sends messages to the group's agents.
    :param tree_broadcast: sends a message to all agents.
    :param clock: source of time.
    """

    def __init__(
        self,
        datagram_socket: GroupSocket,
        tree_broadcast: TreeBroadcast,
        clock: Clock,
    ) -> None:
        self._datagram_socket = datagram_socket
        self._tree_broadcast = tree_broadcast
        self._clock = clock
        self._request_ids = itertools.count(int(clock.wall() * 1000) << 8)
        self._rotation = 0
        self._last_broadcast: _OrderBroadcast | None = None
        self._pending: dict[tuple[int, str], PendingRequest] = {}

    async def broadcast(
        self, order: Prepare, term: Term, encoded: EncodedOrder, rank_count: int
    ) -> None:
        """Broadcast an order to all agents.

        :param order: the order.
        :param term: the coordinator's token and the group's epoch.
        :param encoded: the encoded order.
        :param rank_count: number of ranks in the group.
        """
        request = OrderRequest(next(self._request_ids), *term, encoded)
        packet_seconds = len(encode(request)) / (
            LARGE_MESSAGE_LINK_FRACTION * self._datagram_socket.link_bytes
        )
        seconds = compute_depth(rank_count) * (
            RETRANSMIT_SECONDS + TREE_DEGREE * packet_seconds
        )
        deadline = self._clock.monotonic() + seconds
        self._last_broadcast = _OrderBroadcast(
            order, term, request.request_id, deadline, {}
        )
        # Rotate the tree, so that a failed agent does not block the same ranks.
        self._rotation += 1
        await self._tree_broadcast.broadcast(request, self._rotation)

    async def request(
        self,
        address: Address,
        order: Order,
        term: Term,
        encodings: Sequence[EncodedOrder],
    ) -> PendingRequest:
        """Request an order from an agent until it responds or time is up.

        :param address: the agent's address.
        :param order: the order.
        :param term: the coordinator's token and the group's epoch.
        :param encodings: encodings of the order, the shortest first.
        :returns: the request with its outcome, if any.
        """
        broadcast = self._find_broadcast(order, term)
        request_id = (
            next(self._request_ids)
            if broadcast is None
            else broadcast.request_id
        )
        if broadcast is not None and isinstance(order, Prepare):
            # Agents reached by the broadcast know the request ID.
            version = order.version
            encodings = (
                EncodedOrder('Prepare', version, base_version=version),
                *encodings,
            )
        pending = PendingRequest(request_id, term, encodings)
        key = (request_id, address[0])
        self._pending[key] = pending
        try:
            if broadcast is not None:
                await self._wait_for_broadcast(pending, broadcast, address[0])
            await self._send_until_answered(
                pending, address, _select_timeout(order)
            )
        finally:
            self._pending.pop(key)
        return pending

    async def handle_response(self, response: OrderResponse, host: str) -> None:
        """Handle an agent's response.

        :param response: the response.
        :param host: IP address of the agent's host.
        """
        pending = self._pending.get((response.request_id, host))
        if pending is not None:
            await pending.handle_response(response)
        elif (
            self._last_broadcast is not None
            and self._last_broadcast.request_id == response.request_id
        ):
            self._last_broadcast.early_responses[host] = response

    def _find_broadcast(
        self, order: Order, term: Term
    ) -> _OrderBroadcast | None:
        broadcast = self._last_broadcast
        if broadcast is None or (broadcast.order, broadcast.term) != (
            order,
            term,
        ):
            return None
        return broadcast

    async def _wait_for_broadcast(
        self, pending: PendingRequest, broadcast: _OrderBroadcast, host: str
    ) -> None:
        early_response = broadcast.early_responses.pop(host, None)
        if early_response is not None:
            await pending.handle_response(early_response)
        remaining = broadcast.deadline - self._clock.monotonic()
        if remaining > 0:
            await curio.ignore_after(remaining, pending.done.wait())

    async def _send_until_answered(
        self, pending: PendingRequest, address: Address, timeout: float
    ) -> None:
        deadline = self._clock.monotonic() + timeout
        sends = 0
        link_bytes = self._datagram_socket.link_bytes
        while pending.outcome is None and self._clock.monotonic() < deadline:
            if sends >= MAX_UNANSWERED_SENDS and not pending.is_acknowledged:
                return
            datagram = pending.encode_request()
            await self._datagram_socket.send_paced(datagram, address)
            sends += 1
            # Retransmitting before the link has carried one round to all ranks
            # would congest it.
            round_bytes = len(datagram) * max(len(self._pending), 1)
            pause = max(
                RETRANSMIT_SECONDS,
                RETRANSMIT_ROUND_RATIO * round_bytes / link_bytes,
            )
            await curio.ignore_after(pause, pending.done.wait())


def _select_timeout(order: Order) -> float:
    return (
        PREPARE_TIMEOUT_SECONDS
        if isinstance(order, Prepare)
        else ORDER_TIMEOUT_SECONDS
    )
