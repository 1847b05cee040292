"""Choice of the group that takes a stream.

Load pattern: two or more groups of unequal size share the streams of a service,
and many entries decide by reports that are as old as 0.1 s. If each took the
group with the most room, all would crowd the same one until the next report;
by chance in proportion to free room, the groups fill evenly.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

#: Weight of a group where the stream would be late, relative to one where it
#: would be on time.
LATE_WEIGHT: Final = 0.1
#: Weight of a group with backends in the entry's availability zone, relative to
#: one without.
LOCAL_WEIGHT: Final = 1.25
#: Free places of a group without a limit.
UNLIMITED_PLACES: Final = 1000.0
#: A closed group takes one stream at a time, which finds out whether it has
#: reopened.
PROBE_PLACES: Final = 1.0


class RoomOption(NamedTuple):
    """A group that may take a stream.

    :param name: name of the group.
    :param free: places that this entry may still fill; above zero.
    :param is_closed: whether it refused the last request, and its coordinator
        does not report that it is open.
    :param is_late: whether the stream would miss its objective there.
    :param is_local: whether it has backends in the entry's zone.
    """

    name: str
    free: float
    is_closed: bool = False
    is_late: bool = False
    is_local: bool = False


def choose_option(
    options: Sequence[RoomOption], random: Random
) -> RoomOption | None:
    """Choose a group at random in proportion to its free room.

    :param options: groups with room.
    :param random: source of randomness; not used for a single group.
    :returns: the group; ``None`` if there is none.
    """
    if len(options) < 2:
        return options[0] if options else None
    weights = compute_weights(options)
    return random.choices(options, weights)[0]


def compute_weights(options: Sequence[RoomOption]) -> list[float]:
    """Compute the weights of groups.

    :param options: groups with room.
    :returns: the weights, in the order of the groups.
    """
    are_all_late = all(one.is_late for one in options)
    return [_compute_weight(one, are_all_late) for one in options]


def _compute_weight(option: RoomOption, are_all_late: bool) -> float:
    most = PROBE_PLACES if option.is_closed else UNLIMITED_PLACES
    weight = min(option.free, most)
    if option.is_late and not are_all_late:
        weight *= LATE_WEIGHT
    if option.is_local:
        weight *= LOCAL_WEIGHT
    return weight
