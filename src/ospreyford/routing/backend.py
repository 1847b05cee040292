"""Load and health state of one backend."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.routing.budget import AttemptBudget
from ospreyford.routing.health import Health
from ospreyford.routing.history import InFlightHistory
from ospreyford.routing.residence import ResidenceTime

if TYPE_CHECKING:
    from ospreyford.ports.fleet import Host, LoadReport
    from ospreyford.routing.settings import RoutingSettings

#: Earlier incarnations whose late reports are recognized and ignored.
MAX_EARLIER_INCARNATIONS = 4
#: Time constant of a report's weight, in mean residence times.
DECAY_RESIDENCE_TIMES = 1
#: Initial share of the load during slow start.
MIN_SLOW_START_SHARE = 0.1


class RemoteLoad(NamedTuple):
    """Requests of other entries, and the weight of the report, 0 to 1."""

    weight: float
    requests: float


class Backend:
    """Load and health of one backend, as seen from this entry.

    ``in_flight`` counts this entry's own requests; ``step_seconds`` is the
    last reported step time, 0 if none.

    :param host: the backend's host.
    :param settings: the router's settings.
    """

    def __init__(self, host: Host, settings: RoutingSettings) -> None:
        self.host = host
        self.in_flight = 0
        self._residence_time = ResidenceTime()
        self._in_flight_history = InFlightHistory()
        self.draining = False
        self.step_seconds: float = 0
        self.health = Health(settings.ejection)
        self.retry_budget = AttemptBudget(
            settings.budget.retry_ratio, settings.budget.burst
        )
        self._settings = settings
        self._incarnation = ''
        self._earlier_incarnations: tuple[str, ...] = ()
        self._reported_at = float('-inf')
        self._remote_requests: float = 0
        self._slow_start_at = float('-inf')

    def record_sent(self, now: float) -> None:
        """Record the start of one of this entry's requests.

        :param now: seconds on the monotonic clock.
        """
        self._residence_time.record_in_flight(self.in_flight, now)
        self.in_flight += 1
        self._in_flight_history.record(self.in_flight, now)

    def record_ended(self, now: float) -> None:
        """Record the end of one of this entry's requests.

        :param now: seconds on the monotonic clock.
        """
        self._residence_time.record_in_flight(self.in_flight, now)
        self._residence_time.record_end()
        self.in_flight = max(0, self.in_flight - 1)
        self._in_flight_history.record(self.in_flight, now)

    def record_load(self, report: LoadReport, now: float) -> None:
        """Record a load report unless a newer one is known.

        :param report: the report.
        :param now: seconds on the monotonic clock.
        """
        measured_at = now - report.age_seconds
        if report.incarnation in self._earlier_incarnations:
            # Late report of a process that has been replaced.
            return
        if report.incarnation != self._incarnation:
            self._record_incarnation(report.incarnation, now)
        elif measured_at < self._reported_at:
            return
        self._reported_at = measured_at
        self.draining = report.draining
        self.step_seconds = report.step_seconds
        queued_requests = (
            report.queued_tokens / self._settings.tokens_per_request
        )
        total = report.in_flight + max(report.queued, queued_requests)
        # Requests sent after the measurement are not in the report.
        self._remote_requests = max(
            0, total - self._in_flight_history.get_count(measured_at)
        )

    def estimate_load(
        self, reported: RemoteLoad, mean_requests: float
    ) -> float:
        """Estimate the requests on this backend.

        The reported load decays to the pool's mean: decaying to zero would
        attract all requests to a backend that stopped reporting.

        :param reported: result of :meth:`estimate_remote_load`.
        :param mean_requests: mean remote requests over the pool.
        :returns: requests, this entry's own included.
        """
        deviation = reported.weight * (reported.requests - mean_requests)
        return self.in_flight + mean_requests + deviation

    def estimate_remote_load(self, now: float) -> RemoteLoad:
        """Estimate the load of other entries by the last report.

        :param now: seconds on the monotonic clock.
        :returns: the requests and the current weight of the report.
        """
        return RemoteLoad(
            self._compute_report_weight(now), self._remote_requests
        )

    def compute_slow_start_share(self, now: float) -> float:
        """Compute the share of a full load that the backend may take.

        :param now: seconds on the monotonic clock.
        :returns: 1, or less during slow start.
        """
        age = now - self._slow_start_at
        if age >= self._settings.slow_start_seconds:
            return 1
        share = age / self._settings.slow_start_seconds
        return max(MIN_SLOW_START_SHARE, share)

    def begin_slow_start(self, now: float) -> None:
        """Begin the slow start of a new backend.

        :param now: seconds on the monotonic clock.
        """
        self._slow_start_at = now

    def _compute_report_weight(self, now: float) -> float:
        age = max(0, now - self._reported_at)
        decay_seconds = self._settings.load_decay_seconds
        residence_seconds = self._residence_time.compute_mean()
        if residence_seconds:
            # Reports older than the residence time describe finished
            # requests; following them makes the load oscillate.
            decay_seconds = min(
                decay_seconds, DECAY_RESIDENCE_TIMES * residence_seconds
            )
        return exp(-age / decay_seconds)

    def _record_incarnation(self, incarnation: str, now: float) -> None:
        if self._incarnation:
            known = (*self._earlier_incarnations, self._incarnation)
            self._earlier_incarnations = known[-MAX_EARLIER_INCARNATIONS:]
            self.begin_slow_start(now)
            self.health = Health(self._settings.ejection)
        self._incarnation = incarnation
