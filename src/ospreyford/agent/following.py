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

    def take(self, piece: Piece) -> bool:
        """Take a new piece without waiting.

        :param piece: the piece.
        :returns: whether the follower needs not be woken.
        """

    def is_clear(self) -> bool:
        """Tell whether all that was taken has been passed on.

        :returns: whether it may wait for more.
        """


class Waiting:
    """The followers of one answer that wait for more of it."""

    __slots__ = ('_changed', '_followers')

    def __init__(self) -> None:
        self._changed = curio.Event()
        self._followers: tuple[Follower, ...] = ()

    async def wait(self, follower: Follower) -> None:
        """Wait to be woken, and be handed pieces meanwhile.

        :param follower: who waits.
        """
        self._followers += (follower,)
        try:
            await self._changed.wait()
        finally:
            self._followers = tuple(
                one for one in self._followers if one is not follower
            )

    def hand_on(self, piece: Piece) -> bool:
        """Hand a new piece to all who wait.

        :param piece: the piece.
        :returns: whether nobody has to be woken.
        """
        # A task that is woken for each token costs more than the token. All
        # are handed it, also behind one whose connection takes no more.
        handed = [follower.take(piece) for follower in self._followers]
        return all(handed)

    async def wake(self) -> None:
        """Wake all who wait."""
        changed = self._changed
        self._changed = curio.Event()
        await changed.set()


class Place:
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

    def take(self, piece: Piece) -> bool:
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
