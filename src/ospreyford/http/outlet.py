"""Writing to a socket without waiting, where the kernel has room."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from curio.io import Socket


class Outlet:
    """The sending side of a socket; one task at a time may use it.

    What the kernel did not take is kept and goes first.

    :param sock: a connected curio socket.
    """

    def __init__(self, sock: Socket) -> None:
        self._sock = sock
        self._rest = b''
        # curio hands its socket out so. Kept is the socket and not its
        # descriptor: that number may soon be another caller's connection,
        # while a closed socket raises an error.
        with sock.blocking() as raw:
            self._raw = raw

    def is_clear(self) -> bool:
        """Tell whether the kernel has taken all that was pushed.

        :returns: whether nothing is left.
        """
        return not self._rest

    def push(self, encoded: bytes) -> bool:
        """Write as much as the kernel takes at once.

        :param encoded: the bytes, after those that are left.
        :returns: whether all of it was written. If not, :meth:`drain` must
            follow: it writes the rest, or finds the connection broken.
        """
        if self._rest:
            self._rest += encoded
            return False
        try:
            sent = self._raw.send(encoded)
        except OSError:
            # Full or broken: whoever drains it finds out which.
            sent = 0
        if sent == len(encoded):
            return True
        self._rest = encoded[sent:]
        return False

    async def drain(self) -> None:
        """Write what is left, however long it takes.

        :raises OSError: the connection is broken.
        """
        rest = self._rest
        try:
            await self._sock.sendall(rest)
        except curio.CancelledError as error:
            # A time limit may strike between two writes. What was written
            # must not be written again.
            self._rest = rest[error.bytes_sent :]
            raise
        self._rest = b''
