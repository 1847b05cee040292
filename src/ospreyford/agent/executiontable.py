"""Bounded table of executions and tombstones."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from ospreyford.agent.execution import Execution

if TYPE_CHECKING:
    from ospreyford.agent.settings import RecordSettings
    from ospreyford.ports.clock import Clock

#: Entries swept before other tasks may run.
SWEEP_BATCH_ENTRIES = 500
#: Minimum interval between sweeps of a full table.
MIN_SWEEP_INTERVAL_SECONDS = 0.5


@dataclass(frozen=True)
class Tombstone:
    """Voided attempts at an execution id.

    :param expires_at: end of the tombstone, in monotonic seconds.
    :param moved: whether the id was redirected to another backend server, so
        that no attempt may run here.
    :param attempts: ids of the voided attempts.
    """

    expires_at: float
    moved: bool
    attempts: frozenset[str]


TableEntry: TypeAlias = Execution | Tombstone


class ExecutionTable:
    """Executions and tombstones by id; live entries are never evicted.

    :param settings: bounds and retention times.
    :param clock: source of time.
    """

    def __init__(self, settings: RecordSettings, clock: Clock) -> None:
        self._settings = settings
        self._skew_margin_seconds = 2 * settings.skew_seconds
        self._clock = clock
        self._entries: dict[str, TableEntry] = {}
        self.last_swept_at = float('-inf')

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, execution_id: str) -> TableEntry | None:
        """Look up an id.

        :param execution_id: the execution's id.
        :returns: the execution, its tombstone, or ``None``.
        """
        return self._entries.get(execution_id)

    def has_room(self) -> bool:
        """Check whether one more entry fits, sweeping a full table if due.

        :returns: whether it fits.
        """
        limit = self._settings.max_entries
        # Sweeping a full table on every start would stall all streams.
        elapsed = self._clock.monotonic() - self.last_swept_at
        if (
            len(self._entries) >= limit
            and elapsed >= MIN_SWEEP_INTERVAL_SECONDS
        ):
            self.sweep()
        return len(self._entries) < limit

    def add(self, execution: Execution) -> None:
        """Add an execution.

        :param execution: the new execution.
        """
        self._entries[execution.execution_id] = execution

    def add_tombstone(
        self, execution_id: str, attempt: str, *, moved: bool
    ) -> bool:
        """Record that an attempt at an id must not run here.

        :param execution_id: the execution's id.
        :param attempt: id of the voided attempt.
        :param moved: whether to refuse all other attempts as well.
        :returns: whether the table had room.
        """
        if not self.has_room():
            return False
        earlier_attempts = self.find_voided_attempts(execution_id)
        retention = self._settings.tombstone_seconds
        if moved:
            retention = self._settings.retention_seconds
        expires_at = (
            self._clock.monotonic() + retention + self._skew_margin_seconds
        )
        voided_attempts = earlier_attempts | {attempt}
        self._entries[execution_id] = Tombstone(
            expires_at, moved, voided_attempts
        )
        return True

    def find_voided_attempts(self, execution_id: str) -> frozenset[str]:
        """Find the attempts at an id that must not run.

        :param execution_id: the execution's id.
        :returns: ids of the attempts.
        """
        match self.find(execution_id):
            case Tombstone(attempts=attempts):
                return attempts
            case Execution(voided_attempts=voided_attempts):
                return voided_attempts
            case _:
                return frozenset()

    def sweep(self) -> None:
        """Remove all expired entries and trim old answers."""
        for _ in self.sweep_batches():
            """Continue with the next batch."""

    def sweep_batches(self) -> Iterator[None]:
        """Remove expired entries and trim old answers in batches.

        :returns: an iterator that yields after each batch, so that the caller
            can let other tasks run.
        """
        self.last_swept_at = self._clock.monotonic()
        execution_ids = list(self._entries)
        for first in range(0, len(execution_ids), SWEEP_BATCH_ENTRIES):
            for execution_id in execution_ids[
                first : first + SWEEP_BATCH_ENTRIES
            ]:
                self._sweep_entry(execution_id)
            yield

    def list_running(self) -> list[Execution]:
        """List the executions that have not ended.

        :returns: the executions.
        """
        return [
            entry
            for entry in self._entries.values()
            if isinstance(entry, Execution) and entry.ended_at is None
        ]

    def list_unfinished(self) -> list[Execution]:
        """List the executions that a shutdown would interrupt.

        :returns: running executions, and ended ones with followers.
        """
        # A slow caller may still be reading the answer of an ended run.
        return [
            entry
            for entry in self._entries.values()
            if isinstance(entry, Execution)
            and (entry.ended_at is None or entry.follower_count)
        ]

    def _sweep_entry(self, execution_id: str) -> None:
        entry = self._entries.get(execution_id)
        if entry is None:
            return
        if self._is_expired(entry):
            self._entries.pop(execution_id)
        elif isinstance(entry, Execution) and entry.ended_at is not None:
            self._trim_answer(entry, entry.ended_at)

    def _trim_answer(self, execution: Execution, ended_at: float) -> None:
        is_lingering = (
            self._clock.monotonic() <= ended_at + self._settings.linger_seconds
        )
        if is_lingering:
            return
        max_bytes = 0
        if not execution.idempotent:
            max_bytes = self._settings.max_answer_bytes
        execution.trim_answer(max_bytes)

    def _is_expired(self, entry: TableEntry) -> bool:
        now = self._clock.monotonic()
        match entry:
            case Tombstone(expires_at=expires_at):
                return now > expires_at
            case Execution(ended_at=None):
                return False
            case Execution(idempotent=True, ended_at=float(ended_at)):
                # A paused entry may ask late; without this entry it would be
                # told "not run" of a request that ran.
                retention = (
                    self._settings.tombstone_seconds + self._skew_margin_seconds
                )
                return now > ended_at + retention
            case Execution(started_at=started_at):
                # Counted from the monotonic start time, not from the key's
                # date, so that clock changes do not shorten it.
                retention = (
                    self._settings.retention_seconds + self._skew_margin_seconds
                )
                return now > started_at + retention
