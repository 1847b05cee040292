"""Errors of connections between entries and agents."""

from __future__ import annotations

from dataclasses import dataclass


class WireError(Exception):
    """Base class of connection errors."""


class Unreachable(WireError):
    """No connection could be opened; nothing was sent."""


class Severed(WireError):
    """The connection was lost; sent data may or may not have arrived."""


@dataclass(unsafe_hash=True)
class Malformed(WireError):
    """The peer sent an invalid frame."""

    detail: str
