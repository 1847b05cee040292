"""Why an attempt to coordinate ended."""

from __future__ import annotations

from dataclasses import dataclass

from ospreyford.expertmap.windows import Ballot


class ExpertMapError(Exception):
    """Base of the failures of the agreement."""


@dataclass(unsafe_hash=True)
class BallotPreempted(ExpertMapError):
    """A member promised a higher ballot to another coordinator."""

    promised: Ballot


@dataclass(unsafe_hash=True)
class MemberLost(ExpertMapError):
    """The member of a slot left the generation or lost its memory."""

    slot: int


@dataclass(unsafe_hash=True)
class MembersUnreachable(ExpertMapError):
    """Members did not answer; ``slots`` names them."""

    slots: tuple[int, ...]


class MapMissing(ExpertMapError):
    """No member that answers holds a map to start with."""


class Superseded(ExpertMapError):
    """Another process gave the engine a later order than this one did."""
