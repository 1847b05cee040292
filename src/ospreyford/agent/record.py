"""Execution record: admission and deduplication of requests by id."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from ospreyford.agent.answermemory import AnswerMemory
from ospreyford.agent.execution import Execution
from ospreyford.agent.executiontable import ExecutionTable, Tombstone
from ospreyford.wire.frame import Fate, Refusal

if TYPE_CHECKING:
    from ospreyford.agent.settings import RecordSettings
    from ospreyford.ports.clock import Clock
    from ospreyford.wire.frame import Follow, Start

MILLISECONDS_PER_SECOND = 1000
RECORD_FULL_RETRY_SECONDS = 5.0
DRAIN_RETRY_SECONDS = 1.0


@dataclass(frozen=True)
class Begun:
    """A new execution that must be run."""

    execution: Execution


@dataclass(frozen=True)
class Known:
    """An existing execution that must only be followed."""

    execution: Execution


@dataclass(frozen=True)
class Denied:
    """A refusal to run the id here.

    :param reason: reason of the refusal.
    :param retry_after: delay before a retry, in seconds; 0 for no retry.
    """

    reason: Refusal
    retry_after: float = 0


Decision: TypeAlias = Begun | Known | Denied


class ExecutionRecord:
    """Decides whether each id may run, and records its execution.

    :param settings: bounds and retention times.
    :param incarnation: this agent's incarnation.
    :param clock: source of time.
    """

    def __init__(
        self,
        settings: RecordSettings,
        incarnation: str,
        clock: Clock,
    ) -> None:
        self.incarnation = incarnation
        self.draining = False
        self._settings = settings
        self._clock = clock
        self._started_at = clock.wall()
        self.table = ExecutionTable(settings, clock)
        self.memory = AnswerMemory(settings.max_running_bytes)

    def start(self, frame: Start) -> Decision:
        """Decide whether to run a request.

        :param frame: the entry's frame.
        :returns: the decision.
        """
        match self.table.find(frame.execution):
            case Tombstone(moved=True):
                return Denied(Refusal.moved)
            case Execution(fate=None) as execution:
                return self._follow_existing(execution, frame)
            case (
                Execution(fate=Fate.unknown | Fate.answer_dropped) as execution
            ):
                return self._follow_existing(execution, frame)
            case _:
                return self._start_unless_voided(frame)

    def follow(self, frame: Follow) -> Decision:
        """Look up an id, and void it if it is unknown.

        :param frame: the entry's frame.
        :returns: the execution, or a refusal that tells whether the request
            is proved not to run.
        """
        # A previous incarnation may have run the request.
        if frame.incarnation != self.incarnation:
            return Denied(Refusal.wrong_incarnation)
        match self.table.find(frame.execution):
            case Execution() as execution:
                return Known(execution)
            case Tombstone(moved=True):
                return Denied(Refusal.moved)
            case _:
                return self._void(frame)

    def _follow_existing(self, execution: Execution, frame: Start) -> Decision:
        # A reused key must not return the answer of a different request.
        if execution.fingerprint != frame.fingerprint:
            return Denied(Refusal.key_reused)
        return Known(execution)

    def _start_unless_voided(self, frame: Start) -> Decision:
        # Only the attempt is voided: a caller that was told "not run" may
        # retry with the same key.
        voided_attempts = self.table.find_voided_attempts(frame.execution)
        if frame.attempt in voided_attempts:
            return Denied(Refusal.voided)
        denied = self._check_date(frame) or self._check_admission(frame)
        if denied is not None:
            return denied
        execution = Execution(frame, self._clock.monotonic(), voided_attempts)
        self.table.add(execution)
        return Begun(execution)

    def _check_date(self, frame: Start) -> Denied | None:
        now = self._clock.wall()
        skew = self._settings.skew_seconds
        dated = frame.dated / MILLISECONDS_PER_SECOND
        if now > frame.expires / MILLISECONDS_PER_SECOND:
            return Denied(Refusal.expired)
        if dated > now + skew:
            return Denied(Refusal.key_from_future)
        if frame.idempotent or frame.fresh:
            return None
        if dated < now - self._settings.retention_seconds:
            return Denied(Refusal.key_expired)
        # A key that predates this incarnation may have run in an earlier one.
        if dated <= self._started_at + skew:
            return Denied(Refusal.predates, self._compute_retry_after(now))
        return None

    def _compute_retry_after(self, now: float) -> float:
        accepts_from = self._started_at + self._settings.skew_seconds
        return max(accepts_from - now, 0)

    def _check_admission(self, frame: Start) -> Denied | None:
        if self.draining:
            return self._refuse_draining(frame)
        # Evicting a key to make room would let its retry run twice.
        if not self.table.has_room():
            return Denied(Refusal.record_full, RECORD_FULL_RETRY_SECONDS)
        return None

    def _refuse_draining(self, frame: Start) -> Denied:
        # The entry may run the key on another backend server. The tombstone
        # keeps a retry from running here if the drain is cancelled.
        if frame.idempotent or self._add_tombstone(frame, moved=True):
            return Denied(Refusal.draining, DRAIN_RETRY_SECONDS)
        return Denied(Refusal.record_full, RECORD_FULL_RETRY_SECONDS)

    def _void(self, frame: Follow) -> Denied:
        denied = self._check_follow(frame)
        if denied is not None:
            return denied
        needs_tombstone = frame.sent or frame.moved
        if needs_tombstone and not self._add_tombstone(
            frame, moved=frame.moved
        ):
            return Denied(Refusal.undecided, RECORD_FULL_RETRY_SECONDS)
        return Denied(Refusal.moved if frame.moved else Refusal.voided)

    def _check_follow(self, frame: Follow) -> Denied | None:
        dated = frame.dated / MILLISECONDS_PER_SECOND
        retention = self._settings.retention_seconds
        if frame.fresh:
            retention = self._settings.tombstone_seconds
        # The execution may have been removed from the table.
        if self._clock.wall() - dated > retention:
            return Denied(Refusal.key_expired)
        # An earlier incarnation may have run the key.
        accepts_from = self._started_at + self._settings.skew_seconds
        if not frame.fresh and dated <= accepts_from:
            return Denied(Refusal.predates)
        return None

    def _add_tombstone(self, frame: Start | Follow, *, moved: bool) -> bool:
        return self.table.add_tombstone(
            frame.execution, frame.attempt, moved=moved
        )
