"""UDP transport of agents and entries; messages may be lost or reordered."""

from __future__ import annotations

import itertools
import socket
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import curio
from curio import socket as curio_socket

from ospreyford.rebalance.groupprefix import GroupDatagram, split_group
from ospreyford.rebalance.messages import (
    MAX_DATAGRAM_BYTES,
    EntryMessage,
    Message,
    decode,
    encode,
)

if TYPE_CHECKING:
    from curio.io import Socket

Address = tuple[str, int]
UNLIMITED_BYTES_PER_SECOND: Final = float('inf')
#: Larger messages are paced.
PACKET_PAYLOAD_BYTES = 1400
#: IPv4 and UDP headers.
DATAGRAM_HEADER_BYTES: Final = 28
#: Messages that are handled before other tasks run in any case.
BATCH_DATAGRAMS: Final = 16
LARGE_MESSAGE_LINK_FRACTION = 0.5
MessageHandler = Callable[[EntryMessage, Address], Awaitable[None]]
GroupHandler = Callable[[GroupDatagram, Address], Awaitable[None]]


async def ignore_group(datagram: GroupDatagram, address: Address) -> None:
    """Ignore a message between members of a group.

    :param datagram: the message with its group.
    :param address: the sender's address.
    """


class DatagramSocket:
    """Sends and receives messages over one UDP socket.

    :param address: IP address and port to bind.
    :param link_bytes: bandwidth of the host's link, in bytes per second.
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
        """Send a message without delivery guarantee.

        :param message: the message.
        :param address: the receiver's address.
        """
        await self.send_bytes(encode(message), address)

    async def send_bytes(self, datagram: bytes, address: Address) -> None:
        """Send an encoded message without delivery guarantee.

        :param datagram: the encoded message.
        :param address: the receiver's address.
        """
        self.sent += 1
        try:
            await self._socket.sendto(datagram, address)
        except OSError:
            # An unreachable receiver is equivalent to a lost datagram.
            return

    async def send_paced(self, datagram: bytes, address: Address) -> None:
        """Send an encoded message, pacing large ones to the link's bandwidth.

        A burst of maps would overflow the link's queue and delay heartbeats.

        :param datagram: the encoded message.
        :param address: the receiver's address.
        """
        if len(datagram) <= PACKET_PAYLOAD_BYTES:
            await self.send_bytes(datagram, address)
            return
        async with self._large_message_lock:
            await self.send_bytes(datagram, address)
            await curio.sleep(
                len(datagram) / (LARGE_MESSAGE_LINK_FRACTION * self.link_bytes)
            )

    async def receive(
        self, handler: MessageHandler, handle_group: GroupHandler = ignore_group
    ) -> None:
        """Receive messages until cancelled.

        :param handler: awaited for each message that is meant for no group, one
            at a time.
        :param handle_group: the same for messages between members of a group.
        """
        for number in itertools.count():
            if not number % BATCH_DATAGRAMS:
                # Reading returns at once while datagrams are queued.
                await curio.sleep(0)
            try:
                datagram, address = await self._socket.recvfrom(
                    MAX_DATAGRAM_BYTES
                )
            except OSError:
                # ICMP error for a datagram sent earlier to a closed port.
                continue
            in_group = split_group(datagram)
            if in_group is not None:
                await handle_group(in_group, address)
                continue
            message = decode(datagram)
            if message is None:
                self.malformed += 1
            else:
                await handler(message, address)
