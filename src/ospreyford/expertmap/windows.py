"""Ballots, generations and the windows of steps that are agreed on."""

from __future__ import annotations

import msgspec

from ospreyford.expertmap.maps import MapName


class Ballot(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, order=True
):
    """Number of one attempt to coordinate; a later one compares greater.

    The coordinator's incarnation makes it unique: two coordinators that pick
    the same number at once, or one that forgot which number it had used,
    never share a ballot. A generation is named by the ballot that formed it.

    :param number: one more than the highest that the coordinator knew.
    :param incarnation: the coordinator's incarnation.
    """

    number: int = 0
    incarnation: int = 0


#: Below every ballot that a coordinator uses.
NO_BALLOT = Ballot()


class Window(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A range of steps and the one map that is used in all of them.

    :param index: position in the generation, from 0, without gaps.
    :param first_step: first step of the range.
    :param last_step: last step of the range, included.
    :param map_name: the map.
    """

    index: int
    first_step: int
    last_step: int
    map_name: MapName


class Vote(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The latest window that a member accepted, and under which ballot."""

    ballot: Ballot
    window: Window
