"""Passive health checks: ejection and readmission of backends."""

from __future__ import annotations

from enum import StrEnum
from statistics import median
from typing import TYPE_CHECKING

from ospreyford.routing.query import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.routing.settings import EjectionSettings

#: Weight of the newest sample in the mean latency (EWMA).
LATENCY_SMOOTHING_FACTOR = 0.1
#: Minimum number of peers with enough samples for outlier detection.
MIN_PEERS = 2
#: Upper bound on the doublings of the ejection time.
MAX_DOUBLINGS = 16


class HealthState(StrEnum):
    """Whether a backend is admitted, ejected or being probed."""

    admitted = 'admitted'
    ejected = 'ejected'
    probing = 'probing'


class Health:
    """Health of one backend, derived from its attempts.

    :param settings: thresholds for ejection and readmission.
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
        """Compute the current state.

        :param now: seconds on the monotonic clock.
        :returns: the state; ``probing`` once an ejection has expired.
        """
        if self._state is HealthState.ejected and now >= self._ejected_until:
            self._state = HealthState.probing
            self._probe_successes = 0
        return self._state

    def record_attempt(
        self, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Record the outcome of an attempt.

        :param outcome: how the attempt ended.
        :param seconds: duration of the attempt.
        :param now: seconds on the monotonic clock.
        """
        match outcome:
            case Outcome.answered:
                self._record_answer(seconds, now)
            case Outcome.failed:
                self._record_failure(now)
            case Outcome.outrun:
                # Otherwise hedging would hide a slow backend from ejection.
                self._record_latency(seconds)
            case Outcome.cancelled:
                """Says nothing about the backend's health."""

    def eject_latency_outlier(
        self, peers: Iterable[Health], now: float
    ) -> None:
        """Eject the backend if it is much slower than its peers.

        :param peers: health of the other backends of the service.
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
        # Probes are evaluated without the samples from before the ejection.
        self.samples = 0
        self.mean_latency = 0
        self._state = HealthState.ejected
