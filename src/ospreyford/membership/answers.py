"""Answering other members' probes."""

from __future__ import annotations

import msgspec

from ospreyford.membership.exchanges import Exchanges
from ospreyford.membership.messages import (
    PING,
    RELAY,
    Exchange,
    MalformedMessage,
    RelayAnswer,
    RelayQuestion,
    decode,
)
from ospreyford.membership.prober import Prober
from ospreyford.membership.tables import Tables
from ospreyford.ports.peers import PeerPort


class Answers:
    """Handlers of probes.

    :param tables: the shared tables.
    :param exchanges: writes and reads probes.
    :param prober: probes on others' behalf.
    """

    def __init__(
        self,
        tables: Tables,
        exchanges: Exchanges,
        prober: Prober,
    ) -> None:
        self._tables = tables
        self._exchanges = exchanges
        self._prober = prober

    def serve(self, peers: PeerPort) -> None:
        """Register the handlers.

        :param peers: messages to other processes.
        """
        peers.serve(PING, self.answer_ping)
        peers.serve(RELAY, self.answer_relay)

    async def answer_ping(self, body: bytes) -> bytes | None:
        """Answer a probe.

        :param body: the encoded exchange.
        :returns: this process's side of it; none once it is replaced.
        """
        self._tables.pulse.touch()
        try:
            exchange = decode(body, Exchange)
            sender = self._exchanges.absorb(exchange)
        except MalformedMessage:
            self._tables.counters.malformed += 1
            return None
        view = self._tables.view
        if view.replaced_by is not None:
            return None
        if sender.record is not None:
            self._tables.zones.note_heard(sender.record.member.zone)
        # An earlier incarnation learns from this that it is replaced.
        answer = self._exchanges.compose(
            view.find(sender.name),
            introduce=sender.lacks_me,
            zone=exchange.zone,
        )
        return msgspec.msgpack.encode(answer)

    async def answer_relay(self, body: bytes) -> bytes | None:
        """Probe a member for another one.

        :param body: the encoded question.
        :returns: whether the member answered.
        """
        self._tables.pulse.touch()
        try:
            question = decode(body, RelayQuestion)
        except MalformedMessage:
            self._tables.counters.malformed += 1
            return None
        is_reached = await self._prober.reaches(
            question.address,
            question.name,
            question.incarnation,
        )
        return msgspec.msgpack.encode(RelayAnswer(is_reached))
