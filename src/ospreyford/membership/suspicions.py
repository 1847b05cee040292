"""Suspects that run out of time."""

from __future__ import annotations

from typing import Final, NamedTuple

from ospreyford.membership.context import MembershipContext
from ospreyford.membership.digests import Record
from ospreyford.membership.member import Condition, MemberState, Version
from ospreyford.membership.targets import TargetSelector

#: Share of ``forget_seconds`` after which a dead member is no longer told
#: to others; the rest is there so that nobody is told of it again by one
#: who forgets later.
_DEAD_DIGEST_SHARE: Final = 0.5


class _Timer(NamedTuple):
    """When a suspicion of a version began."""

    version: Version
    started_at: float


class Suspicions:
    """Declares suspects dead that were not heard of in time.

    :param context: the shared state.
    :param targets: tells who is judged here.
    """

    def __init__(
        self, context: MembershipContext, targets: TargetSelector
    ) -> None:
        self._context = context
        self._view = context.view
        self._targets = targets
        self._timers: dict[str, _Timer] = {}
        self._swept_at = context.clock.monotonic()

    def restart_timers(self) -> None:
        """Give every suspect its full time again."""
        self._timers.clear()

    def suspect(self, record: Record, version: Version) -> None:
        """Suspect a member that a probe did not reach.

        :param record: its record when the probe began.
        :param version: its version when the probe began; if more has been
            heard since, the probe says nothing.
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
        """Declare dead whose time ran out; called every period.

        :param heard_at: when any member last answered. A suspicion that
            began later may be this process's own isolation.
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
        """Forget members that have long been dead."""
        forget_seconds = self._context.settings.forget_seconds
        now = self._context.clock.monotonic()
        if now - self._swept_at < forget_seconds / 100:
            return
        self._swept_at = now
        dead = [
            record for record in self._view if record.state is MemberState.dead
        ]
        for record in dead:
            age = now - record.since
            if age > forget_seconds:
                self._view.forget(record)
            elif age > forget_seconds * _DEAD_DIGEST_SHARE:
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
