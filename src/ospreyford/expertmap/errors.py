"""Errors that end a coordination attempt."""

from __future__ import annotations

from dataclasses import dataclass

from ospreyford.expertmap.windows import Ballot


class ExpertMapError(Exception):
    """Base of the expert-map errors."""


@dataclass(unsafe_hash=True)
class BallotPreempted(ExpertMapError):
    """A member promised a higher ballot to another coordinator."""

    promised: Ballot


@dataclass(unsafe_hash=True)
class MemberLost(ExpertMapError):
    """The member of a slot left the generation or lost its state."""

    slot: int


@dataclass(unsafe_hash=True)
class MembersUnreachable(ExpertMapError):
    """The members of ``slots`` did not respond."""

    slots: tuple[int, ...]


class MapMissing(ExpertMapError):
    """No reachable member holds the map."""


class Superseded(ExpertMapError):
    """Another process sent the engine an order with a higher fencing number."""
