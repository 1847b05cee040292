"""Garbage collection of tombstones."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.distribution.replica import Replica
    from ospreyford.distribution.settings import DistributionSettings
    from ospreyford.ports.clock import Clock

#: Checkpoints recorded per retention period of a tombstone.
CHECKPOINTS_PER_RETENTION = 8


class Checkpoint(NamedTuple):
    """The complete revision at a time."""

    recorded_at: float
    complete_revision: int


class TombstoneCollector:
    """Selects the floor, the revision up to which tombstones are collected.

    Any revision up to which every change is held is safe. The retention period
    lets most paused and partitioned processes still receive the tombstones;
    batches avoid a comparison between processes for each tombstone.

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
        self._checkpoints: deque[Checkpoint] = deque()

    def select_floor(self, complete_revision: int) -> int:
        """Record a checkpoint and select the floor; call it periodically.

        :param complete_revision: every change up to this revision is held.
        :returns: the new floor, or the current one.
        """
        now = self._clock.monotonic()
        retention_seconds = self._settings.tombstone_seconds
        last = (
            self._checkpoints[-1].recorded_at
            if self._checkpoints
            else -retention_seconds
        )
        if now - last >= retention_seconds / CHECKPOINTS_PER_RETENTION:
            self._checkpoints.append(Checkpoint(now, complete_revision))
        floor = self._replica.floor
        if now - self._checkpoints[0].recorded_at < retention_seconds:
            return floor
        target = max(floor, self._checkpoints.popleft().complete_revision)
        collectable = len(self._replica.index.list_tombstones(target))
        return (
            target if collectable >= self._settings.tombstone_batch else floor
        )
