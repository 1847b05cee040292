"""The parts of an HTTP message that the rest of the system uses."""

from __future__ import annotations

from typing import NamedTuple

#: Header fields as h11 gives them: lower-case names, raw values.
Headers = tuple[tuple[bytes, bytes], ...]


class Request(NamedTuple):
    """The head of a caller's request."""

    method: str
    target: str
    headers: Headers


class Response(NamedTuple):
    """The head of an answer."""

    status: int
    headers: Headers


class Limits(NamedTuple):
    """What one connection may cost.

    ``head_seconds`` bounds the time between the first byte of a head and
    its end, ``idle_seconds`` the wait for a first byte, ``body_seconds`` the
    whole body, ``stall_seconds`` the time in which the peer must take in one
    piece of an answer; ``head_bytes`` and ``body_bytes`` are sizes in bytes.
    """

    head_seconds: float = 5.0
    idle_seconds: float = 60.0
    body_seconds: float = 15.0
    head_bytes: int = 16_384
    body_bytes: int = 1_048_576
    stall_seconds: float = 15.0


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Find the first header field of a name.

    :param headers: fields with lower-case names.
    :param name: the lower-case name to look for.
    :returns: the raw value, or ``None``.
    """
    for field, content in headers:
        if field == name:
            return content
    return None
