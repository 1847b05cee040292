"""What can go wrong on a connection between an entry and an agent."""

from __future__ import annotations

from dataclasses import dataclass


class WireError(Exception):
    """Base of the failures of a connection between entry and agent."""


class Unreachable(WireError):
    """No connection could be opened, so nothing was sent on it."""


class Severed(WireError):
    """The connection ended; what was sent may or may not have arrived."""


@dataclass(unsafe_hash=True)
class Malformed(WireError):
    """The peer sent what is not a frame of this protocol."""

    detail: str
