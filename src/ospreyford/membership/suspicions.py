"""Suspicion timeouts."""

from __future__ import annotations

from typing import Final, NamedTuple

from ospreyford.membership.context import MembershipContext
from ospreyford.membership.digests import Record
from ospreyford.membership.member import Condition, MemberState, Version
from ospreyford.membership.targets import TargetSelector

#: Share of ``forget_seconds`` for which digests include a dead member, so
#: that a process that forgets it later does not reintroduce it.
_DEAD_DIGEST_SHARE: Final = 0.5


class _Timer(NamedTuple):
    """Start time of the suspicion of a version."""

    version: Version
    started_at: float


class Suspicions:
    """Declares suspects dead that did not refute in time.

    :param context: the shared state.
    :param targets: tells which members this process may suspect.
    """

    def __init__(
        self, context: MembershipContext, targets: TargetSelector
    ) -> None:
        self._context = context
        self._view = context.view
        self._targets = targets
        self._timers: dict[str, _Timer] = {}
        self._last_cleanup_at = context.clock.monotonic()

    def restart_timers(self) -> None:
        """Restart the timeout of every suspect."""
        self._timers.clear()

    def suspect(self, record: Record, version: Version) -> None:
        """Suspect an unreachable member, unless its version has changed.

        :param record: its record when the probe started.
        :param version: its version when the probe started.
        """
        name = record.member.name
        current = self._view.find(name)
        if current is None or current.version != version:
            return
        if version.condition is Condition.dead:
            return
        self._targets.suspects.add(name)
        if version.condition is Condition.live:
            self._context.counters.suspicions += 1
            self._set_condition(current, Condition.suspect)

    def expire(self, last_response_at: float) -> None:
        """Declare expired suspects dead; called every period.

        :param last_response_at: monotonic time of the last response from any
            member; later suspicions may be due to this process's isolation.
        """
        now = self._context.clock.monotonic()
        expired = [
            record
            for record in self._list_suspects()
            if self._is_expired(record, now, last_response_at)
        ]
        for record in expired:
            self._context.counters.deaths += 1
            self._set_condition(record, Condition.dead)

    def forget_dead(self) -> None:
        """Forget members dead for longer than the retention period."""
        forget_seconds = self._context.settings.forget_seconds
        now = self._context.clock.monotonic()
        if now - self._last_cleanup_at < forget_seconds / 100:
            return
        self._last_cleanup_at = now
        dead = [
            record for record in self._view if record.state is MemberState.dead
        ]
        for record in dead:
            dead_seconds = now - record.since
            if dead_seconds > forget_seconds:
                self._view.forget(record)
            elif dead_seconds > forget_seconds * _DEAD_DIGEST_SHARE:
                self._view.digests.remove(record)

    def _set_condition(self, record: Record, condition: Condition) -> None:
        self._view.merge(
            record.member.name,
            record.version._replace(condition=condition),
        )

    def _list_suspects(self) -> list[Record]:
        suspects = [
            record
            for record in self._view
            if record.version.condition is Condition.suspect
            and self._targets.can_suspect(record)
        ]
        names = {record.member.name for record in suspects}
        self._targets.suspects &= names
        for name in self._timers.keys() - names:
            self._timers.pop(name)
        return suspects

    def _is_expired(
        self, record: Record, now: float, last_response_at: float
    ) -> bool:
        name = record.member.name
        timer = self._timers.get(name)
        if timer is None or timer.version != record.version:
            self._timers[name] = _Timer(record.version, now)
            return False
        elapsed = now - timer.started_at
        timeout_seconds = self._context.settings.suspicion_seconds
        return (
            elapsed >= timeout_seconds and last_response_at > timer.started_at
        )
