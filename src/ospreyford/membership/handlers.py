"""Handlers of direct and indirect probes from other members."""

from __future__ import annotations

import msgspec

from ospreyford.membership.context import MembershipContext
from ospreyford.membership.exchanges import ExchangeHandler
from ospreyford.membership.messages import (
    INDIRECT_PROBE_TOPIC,
    PING_TOPIC,
    Exchange,
    IndirectProbeRequest,
    IndirectProbeResponse,
    MalformedMessage,
    decode,
)
from ospreyford.membership.prober import Prober
from ospreyford.ports.peers import PeerPort


class ProbeHandlers:
    """Responds to direct and indirect probes.

    :param context: the shared state.
    :param exchanges: builds and handles exchanges.
    :param prober: probes on behalf of other members.
    """

    def __init__(
        self,
        context: MembershipContext,
        exchanges: ExchangeHandler,
        prober: Prober,
    ) -> None:
        self._context = context
        self._exchanges = exchanges
        self._prober = prober

    def register_handlers(self, peers: PeerPort) -> None:
        """Register the handlers.

        :param peers: transport to other processes.
        """
        peers.serve(PING_TOPIC, self.handle_ping)
        peers.serve(INDIRECT_PROBE_TOPIC, self.handle_indirect_probe)

    async def handle_ping(self, body: bytes) -> bytes | None:
        """Respond to a direct probe.

        :param body: the encoded exchange.
        :returns: the encoded exchange of this process; ``None`` if the
            request is malformed or this process is replaced.
        """
        self._context.pause_detector.record_activity()
        try:
            exchange = decode(body, Exchange)
            sender = self._exchanges.handle_exchange(exchange)
        except MalformedMessage:
            self._context.counters.malformed_messages += 1
            return None
        view = self._context.view
        if view.replaced_by is not None:
            return None
        if sender.record is not None:
            self._context.zone_reachability.record_message(
                sender.record.member.zone
            )
        # Tells an earlier incarnation of the sender that it is replaced.
        response = self._exchanges.build_exchange(
            view.find(sender.name),
            introduce=sender.needs_introduction,
            zone=exchange.zone,
        )
        return msgspec.msgpack.encode(response)

    async def handle_indirect_probe(self, body: bytes) -> bytes | None:
        """Probe a member on behalf of another.

        :param body: the encoded request.
        :returns: the encoded response; ``None`` if the request is malformed.
        """
        self._context.pause_detector.record_activity()
        try:
            request = decode(body, IndirectProbeRequest)
        except MalformedMessage:
            self._context.counters.malformed_messages += 1
            return None
        is_reachable = await self._prober.check_reachable(
            request.address,
            request.name,
            request.incarnation,
        )
        return msgspec.msgpack.encode(IndirectProbeResponse(is_reachable))
