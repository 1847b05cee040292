"""What an agent remembers of ids, within bounds."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from ospreyford.agent.execution import Execution

if TYPE_CHECKING:
    from ospreyford.agent.settings import RecordSettings
    from ospreyford.ports.clock import Clock

#: Entries that are looked at before other tasks may run.
SWEEP_BATCH_ENTRIES = 500
#: Pause between two sweeps of a full record.
MIN_SWEEP_INTERVAL_SECONDS = 0.5


@dataclass(frozen=True)
class Tombstone:
    """Voided attempts at an id.

    :param expires_at: monotonic seconds until which they are refused.
    :param moved: the id was to run on another backend server, so no attempt
        may run here.
    :param attempts: the sendings that were voided.
    """

    expires_at: float
    moved: bool
    attempts: frozenset[str]


TableEntry: TypeAlias = Execution | Tombstone


class ExecutionTable:
    """Executions and tombstones by id; full rather than forgetful.

    :param settings: bounds and times.
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
        """Find what is known of an id.

        :param execution_id: the execution's id.
        :returns: the execution, its tombstone, or ``None``.
        """
        return self._entries.get(execution_id)

    def has_room(self) -> bool:
        """Tell whether one more entry fits, after forgetting what may go.

        :returns: whether it fits.
        """
        limit = self._settings.max_entries
        # A full record is asked by every start. Swept for each, it would
        # stop all answers on their way, tens of milliseconds at a time.
        elapsed = self._clock.monotonic() - self.last_swept_at
        if (
            len(self._entries) >= limit
            and elapsed >= MIN_SWEEP_INTERVAL_SECONDS
        ):
            self.sweep()
        return len(self._entries) < limit

    def add(self, execution: Execution) -> None:
        """Remember an execution.

        :param execution: the new one.
        """
        self._entries[execution.execution_id] = execution

    def add_tombstone(
        self, execution_id: str, attempt: str, *, moved: bool
    ) -> bool:
        """Remember that an attempt at an id must not run here.

        :param execution_id: the execution's id.
        :param attempt: the sending that is voided.
        :param moved: no other may run here either.
        :returns: whether there was room to remember it.
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
        """List the attempts at an id that must not run any more.

        :param execution_id: the execution's id.
        :returns: ids of sendings.
        """
        match self.find(execution_id):
            case Tombstone(attempts=attempts):
                return attempts
            case Execution(voided_attempts=voided_attempts):
                return voided_attempts
            case _:
                return frozenset()

    def sweep(self) -> None:
        """Forget what may be forgotten."""
        for _ in self.sweep_batches():
            """The next part follows at once."""

    def sweep_batches(self) -> Iterator[None]:
        """Forget what may be forgotten, part by part.

        Other tasks may run between two parts.

        :returns: an iterator that stops after each part.
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
        """List the executions that a stop of this process would cut.

        :returns: those that run, and those whose answer an entry still reads.
        """
        # The run may end long before its answer is delivered: a slow caller
        # holds the entry up, and the entry the agent. Symptom of leaving
        # then: a planned stop cuts the answer.
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
                # An entry that was paused may ask late. Forgetting that it
                # ran would void it and make "not run" a lie.
                retention = (
                    self._settings.tombstone_seconds + self._skew_margin_seconds
                )
                return now > ended_at + retention
            case Execution(started_at=started_at):
                # Counted from the start, not from the key's date: a clock
                # that is set must not shorten it.
                retention = (
                    self._settings.retention_seconds + self._skew_margin_seconds
                )
                return now > started_at + retention
