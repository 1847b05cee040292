"""Delivery of an answer's pieces to the connections that follow it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import curio

if TYPE_CHECKING:
    from ospreyford.wire.connection import FrameConnection
    from ospreyford.wire.frame import EntryFrame, Piece


class Follower(Protocol):
    """Follower of an answer; ``sequence`` numbers the next frame to send."""

    sequence: int

    def try_send(self, piece: Piece) -> bool:
        """Send a new piece without blocking.

        :param piece: the piece.
        :returns: whether it was sent; if not, the follower must be notified.
        """

    def is_clear(self) -> bool:
        """Check that no data is left to write.

        :returns: whether the follower may wait for more frames.
        """


class FollowerWaitList:
    """Followers of one answer that wait for more frames."""

    __slots__ = ('_change_event', '_waiting_followers')

    def __init__(self) -> None:
        self._change_event = curio.Event()
        self._waiting_followers: tuple[Follower, ...] = ()

    async def wait(self, follower: Follower) -> None:
        """Wait for a notification while pieces are sent directly.

        :param follower: the waiting follower.
        """
        self._waiting_followers += (follower,)
        try:
            await self._change_event.wait()
        finally:
            self._waiting_followers = tuple(
                one for one in self._waiting_followers if one is not follower
            )

    def try_send(self, piece: Piece) -> bool:
        """Send a new piece to all waiting followers.

        :param piece: the piece.
        :returns: whether all followers were sent it; if not, notify them.
        """
        # Waking a task per token is expensive. No short circuit: a blocked
        # follower must not keep the piece from the others.
        sent = [
            follower.try_send(piece) for follower in self._waiting_followers
        ]
        return all(sent)

    async def notify(self) -> None:
        """Wake all waiting followers."""
        changed = self._change_event
        self._change_event = curio.Event()
        await changed.set()


class FollowerCursor:
    """Position of one entry's connection in an answer.

    :param connection: the entry's connection.
    :param sequence: sequence number of the first frame to send.
    """

    def __init__(
        self,
        connection: FrameConnection[EntryFrame],
        sequence: int,
    ) -> None:
        self.sequence = sequence
        self._connection = connection

    def try_send(self, piece: Piece) -> bool:
        """Send a piece if it is next in sequence and the socket is writable.

        :param piece: a new piece.
        :returns: whether it was sent completely; if not, the follower's task
            must be notified to send the rest or to find the error.
        """
        # The entry rejects frames that are out of sequence or interleaved.
        if piece.sequence != self.sequence or not self.is_clear():
            return False
        self.sequence += 1
        return self._connection.send_nowait(piece)

    def is_clear(self) -> bool:
        """Check that the connection has no unsent data.

        :returns: whether nothing is left to send.
        """
        return self._connection.is_flushed()
