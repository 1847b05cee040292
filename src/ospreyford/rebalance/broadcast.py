"""Broadcast of messages along the tree of a group's agents."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import TYPE_CHECKING, Final

from ospreyford.rebalance.messages import (
    MAX_DATAGRAM_BYTES,
    MemberMessage,
    RelayedMessage,
    decode_member,
    encode,
)
from ospreyford.rebalance.tree import Subtree, order_members, split_subtree

if TYPE_CHECKING:
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.groupsocket import GroupSocket

COMPRESSION_THRESHOLD_BYTES: Final = 600


class TreeBroadcast:
    """Broadcasts messages and forwards those of other agents.

    Bounds what each agent sends, so that a map change doesn't delay the
    coordinator's heartbeats. Delivery isn't guaranteed on any level.

    :param own_address: this agent's address.
    :param datagram_socket: sends messages to the group's agents.

    ``members`` are the addresses of all agents of the group, sorted.
    """

    def __init__(
        self, own_address: Address, datagram_socket: GroupSocket
    ) -> None:
        self.members: Sequence[Address] = ()
        self._own_address = own_address
        self._datagram_socket = datagram_socket

    async def broadcast(self, message: MemberMessage, rotation: int) -> None:
        """Send a message to all other agents.

        :param message: the message.
        :param rotation: rotation of the tree.
        """
        payload = encode(message)
        is_large = len(payload) > COMPRESSION_THRESHOLD_BYTES
        relayed = RelayedMessage(
            origin=self._own_address,
            rotation=rotation,
            first=-1,
            end=max(len(self.members) - 1, 0),
            payload=zlib.compress(payload) if is_large else payload,
            is_compressed=is_large,
        )
        await self.forward(relayed)

    async def forward(self, relayed: RelayedMessage) -> None:
        """Send a broadcast message to this agent's children.

        :param relayed: the message.
        """
        ordered = order_members(self.members, relayed.origin, relayed.rotation)
        end = min(relayed.end, len(ordered))
        if relayed.first + 1 >= end:
            return
        for subtree in split_subtree(Subtree(relayed.first + 1, end)):
            forwarded = RelayedMessage(
                relayed.origin,
                relayed.rotation,
                subtree.first,
                subtree.end,
                relayed.payload,
                relayed.is_compressed,
            )
            await self._datagram_socket.send_paced(
                encode(forwarded), ordered[subtree.first]
            )


def decode_relayed(relayed: RelayedMessage) -> MemberMessage | None:
    """Decode the payload of a broadcast message.

    :param relayed: the received message.
    :returns: the payload, or ``None`` if it is malformed or itself relayed.
    """
    payload = relayed.payload
    if relayed.is_compressed:
        decompressor = zlib.decompressobj()
        try:
            payload = decompressor.decompress(payload, MAX_DATAGRAM_BYTES)
        except zlib.error:
            return None
    message = decode_member(payload)
    return None if isinstance(message, RelayedMessage) else message
