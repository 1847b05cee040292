"""What can go wrong between the system's own processes."""

from __future__ import annotations

from dataclasses import dataclass


class PeerError(Exception):
    """Base of the failures of the peer adapter."""


@dataclass(unsafe_hash=True)
class MalformedEnvelope(PeerError):
    """A message that is no envelope of this protocol."""

    detail: str


@dataclass(unsafe_hash=True)
class AddressUnavailable(PeerError):
    """The peer address could not be bound, often because it is in use."""

    address: str
    detail: str


@dataclass(unsafe_hash=True)
class TopicTaken(PeerError):
    """Two handlers were registered for one topic."""

    topic: str
