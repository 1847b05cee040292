"""Ballots, votes and windows of steps."""

from __future__ import annotations

import msgspec

from ospreyford.expertmap.maps import MapName


class Ballot(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, order=True
):
    """Number of a coordination attempt; later ones compare greater.

    The incarnation makes it unique across coordinators and restarts. A
    generation is identified by the ballot that formed it.

    :param number: one above the highest number known to the coordinator.
    :param incarnation: the coordinator's incarnation.
    """

    number: int = 0
    incarnation: int = 0


#: Lower than every ballot in use.
NO_BALLOT = Ballot()


class Window(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A range of steps that all use the same map.

    :param index: position in the generation, consecutive from 0.
    :param first_step: first step of the range.
    :param last_step: last step of the range, included.
    :param map_name: the map.
    """

    index: int
    first_step: int
    last_step: int
    map_name: MapName


class Vote(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The latest window that a member accepted, with its ballot."""

    ballot: Ballot
    window: Window
