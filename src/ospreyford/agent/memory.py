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
SWEEP_PART = 500
#: Pause between two sweeps of a full record.
SWEEP_REST_SECONDS = 0.5


@dataclass(frozen=True)
class Tombstone:
    """Voided attempts at an id.

    :param until: monotonic seconds until which they are refused.
    :param moved: the id was to run on another backend server, so no attempt
        may run here.
    :param attempts: the sendings that were voided.
    """

    until: float
    moved: bool
    attempts: frozenset[str]


Entry: TypeAlias = Execution | Tombstone


class Memory:
    """Executions and tombstones by id; full rather than forgetful.

    :param settings: bounds and times.
    :param clock: source of time.
    """

    def __init__(self, settings: RecordSettings, clock: Clock) -> None:
        self._settings = settings
        self._margin = 2 * settings.skew_seconds
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self.swept = float('-inf')

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, identity: str) -> Entry | None:
        """Find what is known of an id.

        :param identity: the execution's id.
        :returns: the execution, its tombstone, or ``None``.
        """
        return self._entries.get(identity)

    def has_room(self) -> bool:
        """Tell whether one more entry fits, after forgetting what may go.

        :returns: whether it fits.
        """
        limit = self._settings.max_entries
        # A full record is asked by every start. Swept for each, it would
        # stop all answers on their way, tens of milliseconds at a time.
        rested = self._clock.monotonic() - self.swept
        if len(self._entries) >= limit and rested >= SWEEP_REST_SECONDS:
            self.sweep()
        return len(self._entries) < limit

    def hold(self, execution: Execution) -> None:
        """Remember an execution.

        :param execution: the new one.
        """
        self._entries[execution.identity] = execution

    def bury(self, identity: str, attempt: str, *, moved: bool) -> bool:
        """Remember that an attempt at an id must not run here.

        :param identity: the execution's id.
        :param attempt: the sending that is voided.
        :param moved: no other may run here either.
        :returns: whether there was room to remember it.
        """
        if not self.has_room():
            return False
        earlier = self.list_voided(identity)
        held = self._settings.tombstone_seconds
        if moved:
            held = self._settings.retention_seconds
        until = self._clock.monotonic() + held + self._margin
        voided = earlier | {attempt}
        self._entries[identity] = Tombstone(until, moved, voided)
        return True

    def list_voided(self, identity: str) -> frozenset[str]:
        """List the attempts at an id that must not run any more.

        :param identity: the execution's id.
        :returns: ids of sendings.
        """
        match self.find(identity):
            case Tombstone(attempts=attempts):
                return attempts
            case Execution(voided=voided):
                return voided
            case _:
                return frozenset()

    def sweep(self) -> None:
        """Forget what may be forgotten."""
        for _ in self.sweep_parts():
            """The next part follows at once."""

    def sweep_parts(self) -> Iterator[None]:
        """Forget what may be forgotten, part by part.

        Other tasks may run between two parts.

        :returns: an iterator that stops after each part.
        """
        self.swept = self._clock.monotonic()
        identities = list(self._entries)
        for first in range(0, len(identities), SWEEP_PART):
            for identity in identities[first : first + SWEEP_PART]:
                self._sweep_entry(identity)
            yield

    def list_running(self) -> list[Execution]:
        """List the executions that have not ended.

        :returns: the executions.
        """
        return [
            entry
            for entry in self._entries.values()
            if isinstance(entry, Execution) and entry.ended is None
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
            and (entry.ended is None or entry.followers)
        ]

    def _sweep_entry(self, identity: str) -> None:
        entry = self._entries.get(identity)
        if entry is None:
            return
        if self._may_forget(entry):
            self._entries.pop(identity)
        elif isinstance(entry, Execution) and entry.ended is not None:
            self._bound_answer(entry, entry.ended)

    def _bound_answer(self, execution: Execution, ended: float) -> None:
        lingers = (
            self._clock.monotonic() <= ended + self._settings.linger_seconds
        )
        if lingers:
            return
        kept = 0
        if not execution.idempotent:
            kept = self._settings.max_answer_bytes
        execution.bound_answer(kept)

    def _may_forget(self, entry: Entry) -> bool:
        now = self._clock.monotonic()
        match entry:
            case Tombstone(until=until):
                return now > until
            case Execution(ended=None):
                return False
            case Execution(idempotent=True, ended=float(ended)):
                # An entry that was paused may ask late. Forgetting that it
                # ran would void it and make "not run" a lie.
                held = self._settings.tombstone_seconds + self._margin
                return now > ended + held
            case Execution(begun=begun):
                # Counted from the start, not from the key's date: a clock
                # that is set must not shorten it.
                held = self._settings.retention_seconds + self._margin
                return now > begun + held
