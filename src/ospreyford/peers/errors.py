"""Errors of peer messaging."""

from __future__ import annotations

from dataclasses import dataclass


class PeerError(Exception):
    """Base class of peer messaging errors."""


@dataclass(unsafe_hash=True)
class MalformedEnvelope(PeerError):
    """A message is not a valid envelope."""

    detail: str


@dataclass(unsafe_hash=True)
class AddressUnavailable(PeerError):
    """The peer address could not be bound."""

    address: str
    detail: str


@dataclass(unsafe_hash=True)
class TopicTaken(PeerError):
    """Two handlers were registered for one topic."""

    topic: str
