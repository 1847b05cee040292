"""When a stream leaves a group that is closed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ospreyford.direct.call import Call
    from ospreyford.direct.grouprooms import GroupRooms

#: Consecutive refusals after which a group counts as closed; a single rank may
#: be full or leaving.
CLOSED_REFUSALS: Final = 2


def is_known_closed(call: Call, rooms: GroupRooms) -> bool:
    """Check whether a request should wait again after a failed attempt.

    While another group is open, one that is known to be closed isn't asked
    again.

    :param call: the request.
    :param rooms: rooms of its service.
    :returns: whether the group of the last attempt is closed.
    """
    room = call.room
    if room is None:
        return False
    if call.count_trailing_refusals() >= CLOSED_REFUSALS:
        room.record_refusal()
        return True
    return room.is_closed and rooms.has_other_open(room)
