"""What the connections of a process share for reading messages."""

from __future__ import annotations

from typing import Final, NamedTuple

from ospreyford.http.buffers import DEFAULT_BUFFER_BYTES, BufferPool
from ospreyford.http.pacing import Pacer


class ReadingResources(NamedTuple):
    """Shared by connections whose peers may send without end.

    :param pacer: gives turns to peers that have used up their allowances.
    :param buffers: memory of unfinished messages.
    """

    pacer: Pacer
    buffers: BufferPool


def make_resources(
    buffer_bytes: int = DEFAULT_BUFFER_BYTES,
) -> ReadingResources:
    """Make resources of their own for some connections.

    :param buffer_bytes: limit of their unfinished messages together.
    :returns: the resources.
    """
    return ReadingResources(Pacer(), BufferPool(buffer_bytes))


#: Of connections that are given no other ones.
DEFAULT_RESOURCES: Final = make_resources()
