"""One datagram socket of a process, and who handles what arrives.

Datagrams rather than connections: an open connection may go silent for good,
a late count is worth nothing, and each order is repeated until it is answered
whatever carries it.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import curio
from curio import socket as curio_socket

from ospreyford.rebalance.messages import (
    MAX_DATAGRAM_BYTES,
    Message,
    decode,
    encode,
)

if TYPE_CHECKING:
    from curio.io import Socket

Address = tuple[str, int]
#: The link of a host whose settings do not tell what it carries.
UNLIMITED_BYTES_PER_SECOND: Final = float('inf')
#: Messages of more bytes than one packet holds go one after the other, and
#: take so much of the host's link.
PACKET_PAYLOAD_BYTES = 1400
#: Bytes of a datagram beside its content.
DATAGRAM_HEADER_BYTES: Final = 28
LARGE_MESSAGE_LINK_FRACTION = 0.5
#: Handles one message and its sender's address.
MessageHandler = Callable[[Message, Address], Awaitable[None]]


class DatagramSocket:
    """Sends and receives datagrams.

    :param address: IP number and port to bind.
    :param link_bytes: what the host's link carries, in bytes a second.
    """

    def __init__(
        self, address: Address, link_bytes: float = UNLIMITED_BYTES_PER_SECOND
    ) -> None:
        self.sent = 0
        self.link_bytes = link_bytes
        self._large_message_lock = curio.Lock()
        self.malformed = 0
        self._socket: Socket = curio_socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        )
        self._socket.bind(address)

    async def send(self, message: Message, address: Address) -> None:
        """Send a message; it may be lost.

        :param message: the message.
        :param address: of the receiver.
        """
        await self.send_bytes(encode(message), address)

    async def send_bytes(self, datagram: bytes, address: Address) -> None:
        """Send an encoded message; it may be lost.

        :param datagram: the bytes.
        :param address: of the receiver.
        """
        self.sent += 1
        try:
            await self._socket.sendto(datagram, address)
        except OSError:
            # Nobody listens there, or no way leads there: as good as lost.
            return

    async def send_paced(self, datagram: bytes, address: Address) -> None:
        """Send an encoded message; large ones in turn, at the link's pace.

        Load pattern: a group opens, and 72 agents need a whole map of five
        kilobytes. Sent at once, those that the link's queue cannot hold are
        lost, and heartbeats wait behind the others for 0.7 s.

        :param datagram: the bytes.
        :param address: of the receiver.
        """
        if len(datagram) <= PACKET_PAYLOAD_BYTES:
            await self.send_bytes(datagram, address)
            return
        async with self._large_message_lock:
            await self.send_bytes(datagram, address)
            await curio.sleep(
                len(datagram) / (LARGE_MESSAGE_LINK_FRACTION * self.link_bytes)
            )

    async def receive(self, handler: MessageHandler) -> None:
        """Hand each message to its handler, for as long as the process lives.

        :param handler: is awaited for each message, one at a time.
        """
        while True:
            try:
                datagram, address = await self._socket.recvfrom(
                    MAX_DATAGRAM_BYTES
                )
            except OSError:
                # An earlier datagram met a closed port.
                continue
            message = decode(datagram)
            if message is None:
                self.malformed += 1
            else:
                await handler(message, address)
