"""Datagrams between the members of one group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.groupprefix import add_group
from ospreyford.rebalance.messages import MemberMessage, encode

if TYPE_CHECKING:
    from ospreyford.rebalance.datagrams import Address, DatagramSocket
    from ospreyford.rebalance.groupkey import GroupKey


class GroupSocket:
    """Sends messages to other members of a group over the process's socket.

    Each datagram bears the group, so that no other group's agents read it.

    :param datagram_socket: the process's socket.
    :param key: the group.

    ``link_bytes`` is the bandwidth of the host's link, in bytes per second.
    """

    def __init__(self, datagram_socket: DatagramSocket, key: GroupKey) -> None:
        self._datagram_socket = datagram_socket
        self._tag = key.compute_tag()
        self.link_bytes = datagram_socket.link_bytes

    async def send(self, message: MemberMessage, address: Address) -> None:
        """Send a message without delivery guarantee.

        :param message: the message.
        :param address: the receiver's address.
        """
        await self.send_bytes(encode(message), address)

    async def send_bytes(self, payload: bytes, address: Address) -> None:
        """Send an encoded message without delivery guarantee.

        :param payload: the encoded message.
        :param address: the receiver's address.
        """
        datagram = add_group(self._tag, payload)
        await self._datagram_socket.send_bytes(datagram, address)

    async def send_paced(self, payload: bytes, address: Address) -> None:
        """Send an encoded message, pacing large ones to the link's bandwidth.

        :param payload: the encoded message.
        :param address: the receiver's address.
        """
        datagram = add_group(self._tag, payload)
        await self._datagram_socket.send_paced(datagram, address)
