"""The execution record: what ran here, runs here, or must never run here."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from ospreyford.agent.execution import Execution
from ospreyford.agent.memory import Memory, Tombstone
from ospreyford.wire.frame import Fate, Refusal

if TYPE_CHECKING:
    from ospreyford.agent.settings import RecordSettings
    from ospreyford.ports.clock import Clock
    from ospreyford.wire.frame import Follow, Start

MILLISECONDS = 1000
FULL_RETRY_SECONDS = 5.0
DRAIN_RETRY_SECONDS = 1.0


@dataclass(frozen=True)
class Begun:
    """The execution is new: it must be run now."""

    execution: Execution


@dataclass(frozen=True)
class Known:
    """The id has an execution already: it must only be followed."""

    execution: Execution


@dataclass(frozen=True)
class Denied:
    """The id will not be run here.

    :param reason: why.
    :param retry_after: seconds until one may come again; 0 for never.
    """

    reason: Refusal
    retry_after: float = 0


Decision: TypeAlias = Begun | Known | Denied


class ExecutionRecord:
    """Decides for each id whether it may run, and remembers it.

    :param settings: bounds and times.
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
        self._born = clock.wall()
        self.memory = Memory(settings, clock)

    def start(self, frame: Start) -> Decision:
        """Decide on a start.

        :param frame: the entry's frame.
        :returns: what to do with it.
        """
        match self.memory.find(frame.execution):
            case Tombstone(moved=True):
                return Denied(Refusal.moved)
            case Execution(fate=None) as execution:
                return self._join(execution, frame)
            case (
                Execution(fate=Fate.unknown | Fate.answer_dropped) as execution
            ):
                return self._join(execution, frame)
            case _:
                return self._start_unless_voided(frame)

    def follow(self, frame: Follow) -> Decision:
        """Tell the state of an id, and void it if it is not known.

        :param frame: the entry's frame.
        :returns: the execution, or the proof that it never ran and never
            will, or why neither can be said.
        """
        # Symptom without this check: "not run" is said of a request that the
        # agent's previous life ran. This life knows nothing of it.
        if frame.incarnation != self.incarnation:
            return Denied(Refusal.wrong_incarnation)
        match self.memory.find(frame.execution):
            case Execution() as execution:
                return Known(execution)
            case Tombstone(moved=True):
                return Denied(Refusal.moved)
            case _:
                return self._void(frame)

    def _join(self, execution: Execution, frame: Start) -> Decision:
        # A key that a caller uses for two different requests would give the
        # second one the first one's answer.
        if execution.fingerprint != frame.fingerprint:
            return Denied(Refusal.key_reused)
        return Known(execution)

    def _start_unless_voided(self, frame: Start) -> Decision:
        # Voided is the one sending, not the caller's key: told "not run", a
        # caller may come again with the same key and be served.
        voided = self.memory.list_voided(frame.execution)
        if frame.attempt in voided:
            return Denied(Refusal.voided)
        denied = self._judge_date(frame) or self._judge_state(frame)
        if denied is not None:
            return denied
        execution = Execution(frame, self._clock.monotonic(), voided)
        self.memory.hold(execution)
        return Begun(execution)

    def _judge_date(self, frame: Start) -> Denied | None:
        now = self._clock.wall()
        skew = self._settings.skew_seconds
        dated = frame.dated / MILLISECONDS
        if now > frame.expires / MILLISECONDS:
            return Denied(Refusal.expired)
        if dated > now + skew:
            return Denied(Refusal.key_from_future)
        if frame.idempotent or frame.fresh:
            return None
        if dated < now - self._settings.retention_seconds:
            return Denied(Refusal.key_expired)
        # An agent that restarted knows nothing of its earlier life: a key
        # that may predate it may have run there. Running it again would
        # issue a second quote.
        if dated <= self._born + skew:
            return Denied(Refusal.predates, self._retry_after_birth(now))
        return None

    def _retry_after_birth(self, now: float) -> float:
        settled = self._born + self._settings.skew_seconds
        return max(settled - now, 0)

    def _judge_state(self, frame: Start) -> Denied | None:
        if self.draining:
            return self._refuse_draining(frame)
        # Refusing is honest; forgetting a key to make room would let its
        # retry run a second time.
        if not self.memory.has_room():
            return Denied(Refusal.record_full, FULL_RETRY_SECONDS)
        return None

    def _refuse_draining(self, frame: Start) -> Denied:
        # The entry may take the key to the next home. If the drain request
        # is withdrawn later, a retry that comes here first must not run it a
        # second time: the tombstone holds it off.
        if frame.idempotent or self._bury(frame, moved=True):
            return Denied(Refusal.draining, DRAIN_RETRY_SECONDS)
        return Denied(Refusal.record_full, FULL_RETRY_SECONDS)

    def _void(self, frame: Follow) -> Denied:
        denied = self._judge_question(frame)
        if denied is not None:
            return denied
        buries = frame.sent or frame.moved
        if buries and not self._bury(frame, moved=frame.moved):
            return Denied(Refusal.undecided, FULL_RETRY_SECONDS)
        return Denied(Refusal.moved if frame.moved else Refusal.voided)

    def _judge_question(self, frame: Follow) -> Denied | None:
        dated = frame.dated / MILLISECONDS
        held = self._settings.retention_seconds
        if frame.fresh:
            held = self._settings.tombstone_seconds
        # After so long the record may have forgotten that it ran.
        if self._clock.wall() - dated > held:
            return Denied(Refusal.key_expired)
        # This life knows nothing of what an earlier one ran under a key.
        born = self._born + self._settings.skew_seconds
        if not frame.fresh and dated <= born:
            return Denied(Refusal.predates)
        return None

    def _bury(self, frame: Start | Follow, *, moved: bool) -> bool:
        return self.memory.bury(frame.execution, frame.attempt, moved=moved)
