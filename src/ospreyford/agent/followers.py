"""Who follows an answer, and how its pieces reach them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import curio

if TYPE_CHECKING:
    from ospreyford.wire.connection import FrameConnection
    from ospreyford.wire.frame import EntryFrame, Piece


class Follower(Protocol):
    """Who follows an answer: ``sequence`` is the next frame for it."""

    sequence: int

    def try_send(self, piece: Piece) -> bool:
        """Take a new piece without waiting.

        :param piece: the piece.
        :returns: whether the follower needs not be woken.
        """

    def is_clear(self) -> bool:
        """Tell whether all that was taken has been passed on.

        :returns: whether it may wait for more.
        """


class FollowerWaitList:
    """The followers of one answer that wait for more of it."""

    __slots__ = ('_change_event', '_waiting_followers')

    def __init__(self) -> None:
        self._change_event = curio.Event()
        self._waiting_followers: tuple[Follower, ...] = ()

    async def wait(self, follower: Follower) -> None:
        """Wait to be woken, and be handed pieces meanwhile.

        :param follower: who waits.
        """
        self._waiting_followers += (follower,)
        try:
            await self._change_event.wait()
        finally:
            self._waiting_followers = tuple(
                one for one in self._waiting_followers if one is not follower
            )

    def try_send(self, piece: Piece) -> bool:
        """Hand a new piece to all who wait.

        :param piece: the piece.
        :returns: whether nobody has to be woken.
        """
        # A task that is woken for each token costs more than the token. All
        # are handed it, also behind one whose connection takes no more.
        sent = [
            follower.try_send(piece) for follower in self._waiting_followers
        ]
        return all(sent)

    async def notify(self) -> None:
        """Wake all who wait."""
        changed = self._change_event
        self._change_event = curio.Event()
        await changed.set()


class FollowerCursor:
    """Passes pieces on to an entry as the back end gives them.

    :param connection: the entry's connection.
    :param sequence: number of the first frame to send.
    """

    def __init__(
        self,
        connection: FrameConnection[EntryFrame],
        sequence: int,
    ) -> None:
        self.sequence = sequence
        self._connection = connection

    def try_send(self, piece: Piece) -> bool:
        """Send a piece, if it is the next one and the connection takes it.

        :param piece: a new piece.
        :returns: whether it was sent whole. If not, the task that follows
            must be woken: it sends what is left, or finds it broken.
        """
        # Out of turn, or into the rest of another frame, it would be a
        # crossed frame to the entry.
        if piece.sequence != self.sequence or not self.is_clear():
            return False
        self.sequence += 1
        return self._connection.push(piece)

    def is_clear(self) -> bool:
        """Tell whether the connection has taken all that it was given.

        :returns: whether nothing is left to send.
        """
        return self._connection.is_clear()
