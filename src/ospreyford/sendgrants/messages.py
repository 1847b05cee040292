"""Messages in which entries ask agents for sendings to a backend."""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

#: Upper bounds of what a message may ask for or tell.
MAX_RATE: Final = 1_000_000
MAX_SENDINGS: Final = 64
MAX_ARBITERS: Final = 1_000_000
MAX_WAIT_MS: Final = 10_000


class SendingRequest(msgspec.Struct, frozen=True, tag='q', array_like=True):
    """An entry's request for sendings to a backend.

    :param number: number of the request, unique at the entry.
    :param backend: name of the backend's process.
    :param rate: requests per second that the backend takes from all entries.
    :param count: number of sendings wanted.
    :param rank: place of the agent in the order of those for the backend, as
        the entry knows it.
    """

    number: int
    backend: str
    rate: Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]
    count: Annotated[int, msgspec.Meta(ge=0, le=MAX_SENDINGS)]
    rank: Annotated[int, msgspec.Meta(ge=0, le=MAX_ARBITERS)] = 0


class SendingGrant(msgspec.Struct, frozen=True, tag='r', array_like=True):
    """Agent's reply to a :class:`SendingRequest`.

    :param number: that of the request.
    :param count: number of sendings granted, maybe none.
    :param wait_ms: time until more can be granted, in milliseconds.
    """

    number: int
    count: Annotated[int, msgspec.Meta(ge=0, le=MAX_SENDINGS)]
    wait_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_WAIT_MS)] = 0
