"""What can go wrong on an HTTP connection."""

from __future__ import annotations

from dataclasses import dataclass


class HttpError(Exception):
    """Base of the failures of an HTTP connection."""


@dataclass(unsafe_hash=True)
class BadMessage(HttpError):
    """The peer broke the protocol; ``status`` is what a caller is told."""

    status: int
    detail: str


@dataclass(unsafe_hash=True)
class BodyTooLarge(HttpError):
    """The body is longer than the limit, in bytes."""

    limit: int


@dataclass(unsafe_hash=True)
class BufferFull(HttpError):
    """Unfinished messages exceed the limit in bytes, this one the most."""

    limit: int


@dataclass(unsafe_hash=True)
class TooSlow(HttpError):
    """The peer took longer than ``seconds`` over one part of a message."""

    part: str
    seconds: float


class ConnectionLost(HttpError):
    """The connection ended before the message did."""


class ConnectionRefused(HttpError):
    """No connection could be opened, so nothing was sent."""


@dataclass(unsafe_hash=True)
class Unsendable(HttpError):
    """A message that the protocol does not allow; nothing was sent."""

    detail: str
