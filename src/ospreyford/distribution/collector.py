"""When the marks of removed documents may be forgotten."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.distribution.replica import Replica
    from ospreyford.distribution.settings import DistributionSettings
    from ospreyford.ports.clock import Clock

#: Notes taken in the time that a tombstone is kept.
NOTES = 8


class Note(NamedTuple):
    """Up to which revision every change was held at a time."""

    noted_at: float
    complete: int


class Collector:
    """Chooses the revision up to which tombstones may go.

    Safe is any revision up to which every change is held: what is not held
    of that age was replaced or removed. The age on top keeps most sleepers
    and partitions within the reach of tombstones, which are cheaper to
    compare, and the batch keeps processes from comparing anew at each.

    :param settings: age and batch.
    :param clock: the process's clock.
    :param replica: the documents.
    """

    def __init__(
        self,
        settings: DistributionSettings,
        clock: Clock,
        replica: Replica,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._replica = replica
        self._notes: deque[Note] = deque()

    def choose_floor(self, complete: int) -> int:
        """Choose the floor; call this every now and then.

        :param complete: every change up to this revision is held.
        :returns: the new floor, or the present one.
        """
        now = self._clock.monotonic()
        kept = self._settings.tombstone_seconds
        last = self._notes[-1].noted_at if self._notes else -kept
        if now - last >= kept / NOTES:
            self._notes.append(Note(now, complete))
        floor = self._replica.floor
        if now - self._notes[0].noted_at < kept:
            return floor
        target = max(floor, self._notes.popleft().complete)
        ready = len(self._replica.ordered.tombstones(target))
        return target if ready >= self._settings.tombstone_batch else floor
