"""Ejection of failing and slow backends, and their way back."""

from __future__ import annotations

from enum import StrEnum
from statistics import median
from typing import TYPE_CHECKING

from ospreyford.routing.query import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.routing.settings import EjectionSettings

#: Weight of the newest sample in the mean latency.
LATENCY_SMOOTHING_FACTOR = 0.1
#: Peers with enough samples below which nobody is a latency outlier.
MIN_PEERS = 2
#: Doublings of the ejection time after which only the bound counts.
MAX_DOUBLINGS = 16


class HealthState(StrEnum):
    """Whether a backend is admitted, ejected, or being probed."""

    admitted = 'admitted'
    ejected = 'ejected'
    probing = 'probing'


class Health:
    """What the attempts at one backend say about it.

    :param settings: when to eject and re-admit.
    """

    def __init__(self, settings: EjectionSettings) -> None:
        self.mean_latency: float = 0
        self.samples = 0
        self._settings = settings
        self._consecutive_failures = 0
        self._ejections = 0
        self._ejected_until: float = 0
        self._probe_successes = 0
        self._state = HealthState.admitted

    def compute_state(self, now: float) -> HealthState:
        """Tell the state.

        :param now: seconds on the monotonic clock.
        :returns: ``probing`` once the time of an ejection is over.
        """
        if self._state is HealthState.ejected and now >= self._ejected_until:
            self._state = HealthState.probing
            self._probe_successes = 0
        return self._state

    def record_attempt(
        self, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Take in how an attempt ended.

        :param outcome: how it ended.
        :param seconds: how long it took.
        :param now: seconds on the monotonic clock.
        """
        match outcome:
            case Outcome.answered:
                self._record_answer(seconds, now)
            case Outcome.failed:
                self._record_failure(now)
            case Outcome.outrun:
                # Without it, hedging hides a straggler: its slow attempts
                # are the ones that are cancelled, so it is never ejected, and
                # requests wait for it once the budget is spent.
                self._record_latency(seconds)
            case Outcome.cancelled:
                """Not the backend's doing."""

    def eject_latency_outlier(
        self, peers: Iterable[Health], now: float
    ) -> None:
        """Eject if much slower than the peers.

        :param peers: health of the other backends of the pool.
        :param now: seconds on the monotonic clock.
        """
        min_samples = self._settings.latency_samples
        if (
            self.samples < min_samples
            or self.compute_state(now) is HealthState.ejected
        ):
            return
        peer_latencies = [
            peer.mean_latency for peer in peers if peer.samples >= min_samples
        ]
        if len(peer_latencies) < MIN_PEERS:
            return
        if self.mean_latency > self._settings.latency_ratio * median(
            peer_latencies
        ):
            self._eject(now)

    def _record_answer(self, seconds: float, now: float) -> None:
        self._consecutive_failures = 0
        self._record_latency(seconds)
        if self.compute_state(now) is HealthState.probing:
            self._probe_successes += 1
            if self._probe_successes >= self._settings.probe_successes:
                self._state = HealthState.admitted
                self._ejections = max(0, self._ejections - 1)

    def _record_latency(self, seconds: float) -> None:
        self.samples += 1
        weight = max(LATENCY_SMOOTHING_FACTOR, 1 / self.samples)
        self.mean_latency += weight * (seconds - self.mean_latency)

    def _record_failure(self, now: float) -> None:
        self._consecutive_failures += 1
        probing = self.compute_state(now) is HealthState.probing
        if probing or self._consecutive_failures >= self._settings.failures:
            self._eject(now)

    def _eject(self, now: float) -> None:
        max_seconds = self._settings.max_seconds
        ejection_seconds = self._settings.base_seconds * 2 ** min(
            self._ejections, MAX_DOUBLINGS
        )
        self._ejected_until = now + min(max_seconds, ejection_seconds)
        self._ejections += 1
        self._consecutive_failures = 0
        # The slow samples led to this ejection; the probes are judged
        # afresh, or one bad minute would keep a mended backend out.
        self.samples = 0
        self.mean_latency = 0
        self._state = HealthState.ejected
