"""What an entry knows of one backend."""

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

#: Earlier incarnations remembered, so that their late reports are refused.
MAX_EARLIER_INCARNATIONS = 4
#: Mean stays of a request after which a report has lost 63 % of its weight.
DECAY_RESIDENCE_TIMES = 1
#: Share that a fresh backend starts with.
MIN_SLOW_START_SHARE = 0.1


class RemoteLoad(NamedTuple):
    """Requests of other entries, and the report's weight, 0 to 1."""

    weight: float
    requests: float


class Backend:
    """Load and health of one backend, as seen from this entry.

    ``in_flight`` counts this entry's own requests, ``step_seconds`` is the
    step time of the last report, 0 if never told.

    :param host: its entry in the host list.
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
        """Count a request of this entry.

        :param now: seconds on the monotonic clock.
        """
        self._residence_time.record_in_flight(self.in_flight, now)
        self.in_flight += 1
        self._in_flight_history.record(self.in_flight, now)

    def record_ended(self, now: float) -> None:
        """Count the end of a request of this entry.

        :param now: seconds on the monotonic clock.
        """
        self._residence_time.record_in_flight(self.in_flight, now)
        self._residence_time.record_end()
        self.in_flight = max(0, self.in_flight - 1)
        self._in_flight_history.record(self.in_flight, now)

    def record_load(self, report: LoadReport, now: float) -> None:
        """Take in a load report unless a newer one is known.

        :param report: the report.
        :param now: seconds on the monotonic clock.
        """
        measured_at = now - report.age_seconds
        if report.incarnation in self._earlier_incarnations:
            # A report of a process that is gone, late on its way: taking it
            # would bring back its load and its draining mark.
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
        # What was sent since the measuring is not in the report: taking it
        # off would hide as much of the others' load.
        self._remote_requests = max(
            0, total - self._in_flight_history.get_count(measured_at)
        )

    def estimate_load(
        self, reported: RemoteLoad, mean_requests: float
    ) -> float:
        """Estimate the requests on this backend.

        The report's part fades to the mean of the pool: an old report says
        no more than that the backend is one of the pool, and fading to
        zero would send everybody to whoever stopped reporting.

        :param reported: what :meth:`others` tells now.
        :param mean_others: mean of it over the pool.
        :returns: requests, this entry's own included.
        """
        deviation = reported.weight * (reported.requests - mean_requests)
        return self.in_flight + mean_requests + deviation

    def estimate_remote_load(self, now: float) -> RemoteLoad:
        """Tell the last reported load of other entries.

        :param now: seconds on the monotonic clock.
        :returns: the requests and what the report is still worth.
        """
        return RemoteLoad(
            self._compute_report_weight(now), self._remote_requests
        )

    def compute_slow_start_share(self, now: float) -> float:
        """Tell what share of a full load it may take.

        :param now: seconds on the monotonic clock.
        :returns: 1, or less while it is fresh.
        """
        age = now - self._slow_start_at
        if age >= self._settings.slow_start_seconds:
            return 1
        share = age / self._settings.slow_start_seconds
        return max(MIN_SLOW_START_SHARE, share)

    def begin_slow_start(self, now: float) -> None:
        """Begin the slow start of a fresh backend.

        :param now: seconds on the monotonic clock.
        """
        self._slow_start_at = now

    def _compute_report_weight(self, now: float) -> float:
        age = max(0, now - self._reported_at)
        decay_seconds = self._settings.load_decay_seconds
        residence_seconds = self._residence_time.compute_mean()
        if residence_seconds:
            # A report tells of requests that are gone by now if they stay
            # for less than its age: following it, all entries rush to
            # where it was quiet then, and the load swings to and fro.
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
