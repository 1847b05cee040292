"""Messages that reach all agents of a group through a few of them."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import TYPE_CHECKING, Final

from ospreyford.rebalance.messages import (
    MAX_BYTES,
    Message,
    Passed,
    decode,
    encode,
)
from ospreyford.rebalance.tree import Part, order_members, split

if TYPE_CHECKING:
    from ospreyford.rebalance.post import Address, Post

#: Messages of fewer bytes travel as they are.
LARGE_BYTES: Final = 600


class Relays:
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

    def __init__(self, me: Address, post: Post) -> None:
        self.members: Sequence[Address] = ()
        self._me = me
        self._post = post

    async def spread(self, message: Message, turn: int) -> None:
        """Send a message to all other agents.

        :param message: the message.
        :param turn: of the tree.
        """
        inner = encode(message)
        is_large = len(inner) > LARGE_BYTES
        passed = Passed(
            origin=self._me,
            turn=turn,
            first=-1,
            end=max(len(self.members) - 1, 0),
            inner=zlib.compress(inner) if is_large else inner,
            is_packed=is_large,
        )
        await self.pass_on(passed)

    async def pass_on(self, passed: Passed) -> None:
        """Send a message to the agents below this one in its tree.

        :param passed: the message.
        """
        ordered = order_members(self.members, passed.origin, passed.turn)
        end = min(passed.end, len(ordered))
        if passed.first + 1 >= end:
            return
        for part in split(Part(passed.first + 1, end)):
            below = Passed(
                passed.origin,
                passed.turn,
                part.first,
                part.end,
                passed.inner,
                passed.is_packed,
            )
            await self._post.send_paced(encode(below), ordered[part.first])


def unpack(passed: Passed) -> Message | None:
    """Unpack the message that was passed on.

    :param passed: what arrived.
    :returns: the message, or ``None`` if it is none that may be passed on.
    """
    inner = passed.inner
    if passed.is_packed:
        unpacking = zlib.decompressobj()
        try:
            inner = unpacking.decompress(inner, MAX_BYTES)
        except zlib.error:
            return None
    message = decode(inner)
    return None if isinstance(message, Passed) else message
