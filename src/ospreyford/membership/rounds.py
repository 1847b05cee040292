"""What a member does in each period."""

from __future__ import annotations

from typing import Final

from ospreyford.membership.prober import Prober
from ospreyford.membership.repairs import Repairs
from ospreyford.membership.suspicions import Suspicions
from ospreyford.membership.tables import Tables
from ospreyford.membership.targets import Targets

#: Share by which periods vary, so that members don't probe in step.
_JITTER: Final = 0.1
#: A period with slow probes still rests for this share of it.
_LEAST_REST: Final = 0.25


class Rounds:
    """Runs one period after the other.

    :param tables: the shared tables.
    :param targets: chooses whom to probe.
    :param suspicions: declares suspects dead.
    :param prober: probes.
    :param repairs: repairs the view.
    """

    def __init__(
        self,
        tables: Tables,
        targets: Targets,
        suspicions: Suspicions,
        prober: Prober,
        repairs: Repairs,
    ) -> None:
        self._tables = tables
        self._targets = targets
        self._suspicions = suspicions
        self._prober = prober
        self._repairs = repairs
        self._wakes = tables.pulse.wakes

    async def run_one(self) -> None:
        """Probe one member, repair if need be, and rest."""
        clock = self._tables.clock
        began = clock.monotonic()
        self._review()
        target = self._targets.choose()
        if target is not None:
            await self._prober.probe(target)
        period = self._tables.settings.period_seconds
        period *= self._tables.rng.uniform(1 - _JITTER, 1 + _JITTER)
        await self._repairs.repair(began + period * (1 - _LEAST_REST))
        rest = period - (clock.monotonic() - began)
        await clock.sleep(max(rest, period * _LEAST_REST))

    def _review(self) -> None:
        self._tables.pulse.touch()
        if self._tables.pulse.wakes != self._wakes:
            # The suspects had no chance to be heard during the pause.
            self._wakes = self._tables.pulse.wakes
            self._tables.counters.wakes += 1
            self._suspicions.restart()
        self._suspicions.expire(self._prober.heard_at)
        self._suspicions.sweep()
