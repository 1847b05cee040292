"""Connections that are reset rather than closed in order."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from curio.io import Socket

#: ``struct linger``: on, zero seconds.
NO_LINGER: Final = struct.pack('ii', 1, 0)


def reset_on_close(sock: Socket) -> None:
    """Have the close reset the connection, and drop what was not received.

    :param sock: a connected curio socket.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
