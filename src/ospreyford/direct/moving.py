"""Streams that leave a slow back end for another one."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ospreyford.direct.choosing import find_refuge, is_slow
from ospreyford.direct.decisions import StreamMoved

if TYPE_CHECKING:
    from ospreyford.direct.call import Call
    from ospreyford.direct.fleet import Member
    from ospreyford.direct.world import World

MILLISECONDS = 1000


class StreamMover:
    """Decides whether one stream goes on elsewhere, and pays for that.

    :param call: the request.
    :param world: what the entry knows and uses.
    :param most_sendings: sendings of one request at most.
    """

    def __init__(self, call: Call, world: World, most_sendings: int) -> None:
        self._call = call
        self._world = world
        self._most_sendings = most_sendings
        self._is_paid = False

    def should_move(self, member: Member) -> bool:
        """Tell whether the stream leaves its back end now.

        :param member: the back end.
        :returns: whether it does; the next sending is then paid for. Left
            without that, it might find the shared budget empty and be cut.
        """
        # Asked after each event of each stream: the list of back ends is made
        # only where there is something to look for.
        if not is_slow(member) or not self._may_move():
            return False
        world = self._world
        now = time.monotonic()
        members = world.fleet.list_service(self._call.service)
        if find_refuge(members, member) is None:
            return False
        if not world.budget.spend(self._call.service, now):
            return False
        self._is_paid = True
        world.log.log_change(
            StreamMoved(
                request_id=self._call.id,
                backend=member.server.id,
                pace=round(member.pace, 2),
                pace_age_ms=int((now - member.told_at) * MILLISECONDS),
                event=self._call.cursor,
            )
        )
        return True

    def take_paid(self) -> bool:
        """Use up the sending that a move has paid for.

        :returns: whether there was one.
        """
        was_paid = self._is_paid
        self._is_paid = False
        return was_paid

    def _may_move(self) -> bool:
        call = self._call
        return (
            call.may_repeat()
            and call.has_runs_left()
            and len(call.attempts) < self._most_sendings
            and self._world.may_serve(call)
        )
