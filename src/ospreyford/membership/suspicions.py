"""Suspects that run out of time."""

from __future__ import annotations

from typing import Final, NamedTuple

from ospreyford.membership.digests import Record
from ospreyford.membership.member import Condition, MemberState, Version
from ospreyford.membership.tables import Tables
from ospreyford.membership.targets import Targets

#: Share of ``forget_seconds`` after which a dead member is no longer told
#: to others; the rest is there so that nobody is told of it again by one
#: who forgets later.
_TELL_SHARE: Final = 0.5


class _Timer(NamedTuple):
    """When a suspicion of a version began."""

    version: Version
    began: float


class Suspicions:
    """Declares suspects dead that were not heard of in time.

    :param tables: the shared tables.
    :param targets: tells who is judged here.
    """

    def __init__(self, tables: Tables, targets: Targets) -> None:
        self._tables = tables
        self._view = tables.view
        self._targets = targets
        self._timers: dict[str, _Timer] = {}
        self._swept_at = tables.clock.monotonic()

    def restart(self) -> None:
        """Give every suspect its full time again."""
        self._timers.clear()

    def suspect(self, record: Record, version: Version) -> None:
        """Suspect a member that a probe did not reach.

        :param record: its record when the probe began.
        :param version: its version when the probe began; if more has been
            heard since, the probe says nothing.
        """
        name = record.member.name
        now = self._view.find(name)
        if now is None or now.version != version:
            return
        if version.condition is Condition.dead:
            return
        self._targets.suspects.add(name)
        if version.condition is Condition.live:
            self._tables.counters.suspicions += 1
            self._judge(now, Condition.suspect)

    def expire(self, heard_at: float) -> None:
        """Declare dead whose time ran out; called every period.

        :param heard_at: when any member last answered. A suspicion that
            began later may be this process's own isolation.
        """
        now = self._tables.clock.monotonic()
        due = [
            record
            for record in self._suspects()
            if self._is_due(record, now, heard_at)
        ]
        for record in due:
            self._tables.counters.deaths += 1
            self._judge(record, Condition.dead)

    def sweep(self) -> None:
        """Forget members that have long been dead."""
        limit = self._tables.settings.forget_seconds
        now = self._tables.clock.monotonic()
        if now - self._swept_at < limit / 100:
            return
        self._swept_at = now
        dead = [
            record for record in self._view if record.state is MemberState.dead
        ]
        for record in dead:
            age = now - record.since
            if age > limit:
                self._view.forget(record)
            elif age > limit * _TELL_SHARE:
                self._view.digests.hide(record)

    def _judge(self, record: Record, condition: Condition) -> None:
        self._view.merge(
            record.member.name,
            record.version._replace(condition=condition),
        )

    def _suspects(self) -> list[Record]:
        suspects = [
            record
            for record in self._view
            if record.version.condition is Condition.suspect
            and self._targets.is_judged_here(record)
        ]
        names = {record.member.name for record in suspects}
        self._targets.suspects &= names
        for gone in self._timers.keys() - names:
            self._timers.pop(gone)
        return suspects

    def _is_due(self, record: Record, now: float, heard_at: float) -> bool:
        name = record.member.name
        timer = self._timers.get(name)
        if timer is None or timer.version != record.version:
            self._timers[name] = _Timer(record.version, now)
            return False
        lasted = now - timer.began
        limit = self._tables.settings.suspicion_seconds
        return lasted >= limit and heard_at > timer.began
