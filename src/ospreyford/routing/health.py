"""Ejection of failing and slow back ends, and their way back."""

from __future__ import annotations

from enum import StrEnum
from statistics import median
from typing import TYPE_CHECKING

from ospreyford.routing.query import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.routing.settings import EjectionSettings

#: Weight of the newest sample in the mean latency.
LATENCY_WEIGHT = 0.1
#: Peers with enough samples below which nobody is a latency outlier.
MIN_PEERS = 2
#: Doublings of the ejection time after which only the bound counts.
MOST_DOUBLINGS = 16


class HealthState(StrEnum):
    """Whether a back end is admitted, ejected, or being probed."""

    admitted = 'admitted'
    ejected = 'ejected'
    probing = 'probing'


class Health:
    """What the attempts at one back end say about it.

    :param settings: when to eject and re-admit.
    """

    def __init__(self, settings: EjectionSettings) -> None:
        self.latency: float = 0
        self.samples = 0
        self._settings = settings
        self._failures = 0
        self._ejections = 0
        self._ejected_until: float = 0
        self._successes = 0
        self._state = HealthState.admitted

    def state(self, now: float) -> HealthState:
        """Tell the state.

        :param now: seconds on the monotonic clock.
        :returns: ``probing`` once the time of an ejection is over.
        """
        if self._state is HealthState.ejected and now >= self._ejected_until:
            self._state = HealthState.probing
            self._successes = 0
        return self._state

    def note(self, outcome: Outcome, seconds: float, now: float) -> None:
        """Take in how an attempt ended.

        :param outcome: how it ended.
        :param seconds: how long it took.
        :param now: seconds on the monotonic clock.
        """
        match outcome:
            case Outcome.answered:
                self._note_answer(seconds, now)
            case Outcome.failed:
                self._note_failure(now)
            case Outcome.outrun:
                # Without it, hedging hides a straggler: its slow attempts
                # are the ones that are cancelled, so it is never ejected, and
                # requests wait for it once the budget is spent.
                self._note_latency(seconds)
            case Outcome.cancelled:
                """Not the back end's doing."""

    def judge_latency(self, peers: Iterable[Health], now: float) -> None:
        """Eject if much slower than the peers.

        :param peers: health of the other back ends of the pool.
        :param now: seconds on the monotonic clock.
        """
        enough = self._settings.latency_samples
        if self.samples < enough or self.state(now) is HealthState.ejected:
            return
        known = [peer.latency for peer in peers if peer.samples >= enough]
        if len(known) < MIN_PEERS:
            return
        if self.latency > self._settings.latency_ratio * median(known):
            self._eject(now)

    def _note_answer(self, seconds: float, now: float) -> None:
        self._failures = 0
        self._note_latency(seconds)
        if self.state(now) is HealthState.probing:
            self._successes += 1
            if self._successes >= self._settings.probe_successes:
                self._state = HealthState.admitted
                self._ejections = max(0, self._ejections - 1)

    def _note_latency(self, seconds: float) -> None:
        self.samples += 1
        weight = max(LATENCY_WEIGHT, 1 / self.samples)
        self.latency += weight * (seconds - self.latency)

    def _note_failure(self, now: float) -> None:
        self._failures += 1
        probing = self.state(now) is HealthState.probing
        if probing or self._failures >= self._settings.failures:
            self._eject(now)

    def _eject(self, now: float) -> None:
        longest = self._settings.max_seconds
        span = self._settings.base_seconds * 2 ** min(
            self._ejections, MOST_DOUBLINGS
        )
        self._ejected_until = now + min(longest, span)
        self._ejections += 1
        self._failures = 0
        # The slow samples led to this ejection; the probes are judged
        # afresh, or one bad minute would keep a mended back end out.
        self.samples = 0
        self.latency = 0
        self._state = HealthState.ejected
