"""The periodic probe loop."""

from __future__ import annotations

from typing import Final

from ospreyford.membership.context import MembershipContext
from ospreyford.membership.prober import Prober
from ospreyford.membership.repairs import Repairs
from ospreyford.membership.suspicions import Suspicions
from ospreyford.membership.targets import TargetSelector

#: Relative jitter of the period, to desynchronize members.
_JITTER_SHARE: Final = 0.1
#: Shortest sleep, as a share of the period.
_MIN_SLEEP_SHARE: Final = 0.25


class ProbeLoop:
    """Probes, repairs and expires suspicions in each period.

    :param context: the shared state.
    :param targets: selects probe targets.
    :param suspicions: declares suspects dead.
    :param prober: probes targets.
    :param repairs: repairs the view.
    """

    def __init__(
        self,
        context: MembershipContext,
        targets: TargetSelector,
        suspicions: Suspicions,
        prober: Prober,
        repairs: Repairs,
    ) -> None:
        self._context = context
        self._targets = targets
        self._suspicions = suspicions
        self._prober = prober
        self._repairs = repairs
        self._pause_count = context.pause_detector.pause_count

    async def run_period(self) -> None:
        """Probe one target, repair the view and sleep."""
        clock = self._context.clock
        started_at = clock.monotonic()
        self._update_suspicions()
        target = self._targets.select_next()
        if target is not None:
            await self._prober.probe(target)
        period = self._context.settings.period_seconds
        period *= self._context.rng.uniform(
            1 - _JITTER_SHARE, 1 + _JITTER_SHARE
        )
        await self._repairs.repair(started_at + period * (1 - _MIN_SLEEP_SHARE))
        remaining = period - (clock.monotonic() - started_at)
        await clock.sleep(max(remaining, period * _MIN_SLEEP_SHARE))

    def _update_suspicions(self) -> None:
        self._context.pause_detector.record_activity()
        if self._context.pause_detector.pause_count != self._pause_count:
            # Refutations cannot have been received during the pause.
            self._pause_count = self._context.pause_detector.pause_count
            self._context.counters.pauses += 1
            self._suspicions.restart_timers()
        self._suspicions.expire(self._prober.last_response_at)
        self._suspicions.forget_dead()
