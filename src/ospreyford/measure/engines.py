"""Queue model of one back end."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple

from ospreyford.measure.workload import Deployment, Job
from ospreyford.ports.fleet import LoadReport


class Started(NamedTuple):
    """A request that began to run.

    :param job: the request.
    :param first_token: seconds until its first token.
    :param whole: seconds until its last token.
    :param hit: whether its prefix was cached.
    """

    job: Job
    first_token: float
    whole: float
    hit: bool


class Engine:
    """Runs a bounded batch; the rest waits in order of arrival.

    :param deployment: sizes and speeds.
    :param slowness: factor on every step.
    """

    def __init__(self, deployment: Deployment, slowness: float = 1) -> None:
        self.slowness = slowness
        self.lost = False
        self.running: set[int] = set()
        self._deployment = deployment
        self._waiting: deque[Job] = deque()
        self._cache: OrderedDict[int, None] = OrderedDict()

    def accept(self, job: Job) -> None:
        """Take a request in.

        :param job: the request.
        """
        self._waiting.append(job)

    def start(self) -> list[Started]:
        """Start waiting requests while there is room.

        :returns: what was started.
        """
        started = []
        while self._waiting and len(self.running) < self._deployment.slots:
            job = self._waiting.popleft()
            self.running.add(job.number)
            started.append(self._time(job))
        return started

    def drop_late(self, now: float) -> list[Job]:
        """Drop waiting requests whose callers have given up.

        :param now: seconds of model time.
        :returns: what was dropped.
        """
        latest = now - self._deployment.patience
        late = [job for job in self._waiting if job.arrived_at < latest]
        if late:
            kept = (job for job in self._waiting if job.arrived_at >= latest)
            self._waiting = deque(kept)
        return late

    def finish(self, job: Job) -> None:
        """End a request.

        :param job: the request.
        """
        self.running.discard(job.number)

    def report(self, age: float) -> LoadReport:
        """Report the load.

        :param age: how old the report will be when it is read.
        :returns: the report.
        """
        return LoadReport(
            incarnation='1',
            in_flight=len(self.running),
            queued=len(self._waiting),
            step_seconds=self._deployment.step_seconds * self.slowness,
            age_seconds=age,
        )

    def _time(self, job: Job) -> Started:
        hit = job.prefix in self._cache
        self._cache[job.prefix] = None
        self._cache.move_to_end(job.prefix)
        if len(self._cache) > self._deployment.cached:
            self._cache.popitem(last=False)
        step = self._deployment.step_seconds * self.slowness
        prefill = 0 if hit else self._deployment.prefix_seconds * self.slowness
        first = prefill + step
        return Started(job, first, prefill + step * job.tokens, hit)
