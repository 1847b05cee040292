"""Messages that reach all agents of a group through a few of them."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import TYPE_CHECKING, Final

from ospreyford.rebalance.messages import (
    MAX_DATAGRAM_BYTES,
    Message,
    RelayedMessage,
    decode,
    encode,
)
from ospreyford.rebalance.tree import Subtree, order_members, split_subtree

if TYPE_CHECKING:
    from ospreyford.rebalance.datagrams import Address, DatagramSocket

#: Messages of fewer bytes travel as they are.
COMPRESSION_THRESHOLD_BYTES: Final = 600


class TreeBroadcast:
    """Sends messages down the tree of a group, and passes on those of others.

    Load pattern: a change of maps goes to 129 agents over a link of 3 Mbit/s.
    Sent to one after the other it takes seconds, in which heartbeats wait and
    another agent takes over; with each agent sending to twelve at most it
    takes as long as two levels of the tree.

    A message may be lost on any level: whoever needs an answer repeats it
    directly.

    :param me: this agent's address.
    :param post: the process's datagrams.

    ``members`` are the addresses of all agents of the group, sorted.
    """

    def __init__(
        self, own_address: Address, datagram_socket: DatagramSocket
    ) -> None:
        self.members: Sequence[Address] = ()
        self._own_address = own_address
        self._datagram_socket = datagram_socket

    async def broadcast(self, message: Message, rotation: int) -> None:
        """Send a message to all other agents.

        :param message: the message.
        :param turn: of the tree.
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
        """Send a message to the agents below this one in its tree.

        :param passed: the message.
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


def decode_relayed(relayed: RelayedMessage) -> Message | None:
    """Unpack the message that was passed on.

    :param passed: what arrived.
    :returns: the message, or ``None`` if it is none that may be passed on.
    """
    payload = relayed.payload
    if relayed.is_compressed:
        decompressor = zlib.decompressobj()
        try:
            payload = decompressor.decompress(payload, MAX_DATAGRAM_BYTES)
        except zlib.error:
            return None
    message = decode(payload)
    return None if isinstance(message, RelayedMessage) else message
