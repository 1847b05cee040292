"""Grants of sendings to backends of a limited rate, beside an agent."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ospreyford.direct.freshness import read_boot_clock
from ospreyford.sendgrants.ledger import GrantOffice
from ospreyford.sendgrants.messages import SendingGrant

if TYPE_CHECKING:
    from ospreyford.rebalance.datagrams import Address, DatagramSocket
    from ospreyford.sendgrants.messages import SendingRequest

MS_PER_SECOND = 1000


class RateRelay:
    """Answers the requests of entries for sendings.

    :param datagram_socket: the process's socket.
    """

    def __init__(self, datagram_socket: DatagramSocket) -> None:
        self._office = GrantOffice(read_boot_clock())
        self._datagram_socket = datagram_socket

    async def handle_request(
        self, request: SendingRequest, address: Address
    ) -> None:
        """Grant an entry what is left, maybe nothing.

        :param request: the entry's request.
        :param address: the entry's address.
        """
        granted = self._office.grant(request, read_boot_clock())
        await self._datagram_socket.send(
            SendingGrant(
                request.number,
                granted.sendings,
                math.ceil(granted.wait_seconds * MS_PER_SECOND),
            ),
            address,
        )
