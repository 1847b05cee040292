"""Runs of the queue model: entries, back ends, faults, results."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Sequence
from enum import StrEnum
from functools import partial
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from ospreyford.limits.queue import FairQueue, NotQueued, Queued, Waiter
from ospreyford.limits.settings import QueueSettings
from ospreyford.measure.engines import Engine, Started
from ospreyford.measure.policies import Policy
from ospreyford.measure.workload import (
    CUSTOMERS,
    Arrivals,
    Deployment,
    Job,
)
from ospreyford.ports.fleet import Host
from ospreyford.routing.query import Outcome

SECONDS = 40.0
#: Requests that came earlier are left out of the figures.
WARM_UP = 8.0
FAULT_AT = 16.0
#: Seconds between two load reports of a back end.
REPORT_SECONDS = 0.1
#: How long the host list still shows a lost host.
LIST_LAG = 6.0
#: How long a sending to a lost host takes to fail.
CONNECT_TIMEOUT = 0.25
STRAGGLER_SLOWNESS = 6.0
MICROSECONDS = 1e6
LONGEST_MICROSECONDS = 10**9
MEDIAN = 50
TAIL = 99


class Fault(StrEnum):
    """What fails at :data:`FAULT_AT`."""

    none = 'none'
    straggler = 'straggler'
    zone_lost = 'zone lost'
    reports_stopped = 'reports stopped'


class Case(NamedTuple):
    """One cell of the tables.

    :param deployment: whose service.
    :param load: part of the capacity asked for.
    :param lag: age of load reports when they arrive, in seconds.
    :param fault: what fails.
    :param fair: whether requests that find no room wait in the fair queue.
    """

    deployment: Deployment
    load: float
    lag: float
    fault: Fault = Fault.none
    fair: bool = False


class Figures(NamedTuple):
    """Result of one run; times in seconds, the rest are parts of 1."""

    p50: float
    p99: float
    first_token_p99: float
    goodput: float
    jain: float
    worst: float
    hits: float


def make_hosts(deployment: Deployment) -> tuple[Host, ...]:
    """Make the host list.

    :param deployment: how many.
    :returns: hosts spread over three zones.
    """
    return tuple(
        Host(
            name=f'backend-{number}',
            instance=str(number),
            role='backend',
            zone='abc'[number % 3],
            region='r',
            service='model',
            data_address='',
            peer_address='',
        )
        for number in range(deployment.replicas)
    )


class Tally:
    """Counts what became of the requests."""

    def __init__(self) -> None:
        self.whole = HdrHistogram(1, LONGEST_MICROSECONDS, 3)
        self.first = HdrHistogram(1, LONGEST_MICROSECONDS, 3)
        self.offered: Counter[int] = Counter()
        self.good: Counter[int] = Counter()
        self.started = 0
        self.hits = 0

    def note_answer(self, job: Job, first: float, now: float) -> None:
        """Count an answer in time.

        :param job: the request.
        :param first: when its first token came.
        :param now: when its last token came.
        """
        whole = (now - job.arrived_at) * MICROSECONDS
        self.whole.record_value(int(whole))
        self.first.record_value(int((first - job.arrived_at) * MICROSECONDS))
        self.good[job.customer] += 1

    def sum_up(self) -> Figures:
        """Work out the figures.

        :returns: the figures.
        """
        parts = [
            self.good[customer] / max(1, self.offered[customer])
            for customer in range(CUSTOMERS)
        ]
        squares = sum(part * part for part in parts)
        return Figures(
            self.whole.get_value_at_percentile(MEDIAN) / MICROSECONDS,
            self.whole.get_value_at_percentile(TAIL) / MICROSECONDS,
            self.first.get_value_at_percentile(TAIL) / MICROSECONDS,
            self.good.total() / max(1, self.offered.total()),
            sum(parts) ** 2 / (CUSTOMERS * squares) if squares else 0,
            min(parts),
            self.hits / max(1, self.started),
        )


class Agenda:
    """Events in order of model time."""

    def __init__(self) -> None:
        self.now: float = 0
        self._events: list[_Event] = []
        self._count = 0

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Add an event.

        :param seconds: how long from now.
        :param action: what happens.
        """
        self._count += 1
        event = _Event(self.now + seconds, self._count, action)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Play all events."""
        while self._events:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.action()


class _Event(NamedTuple):
    at: float
    number: int
    action: Callable[[], None]


class Model:
    """Plays one case with one policy.

    :param case: what to play.
    :param policies: one for each entry.
    :param seed: of the requests.
    """

    def __init__(
        self, case: Case, policies: Sequence[Policy], seed: int
    ) -> None:
        self._case = case
        self._policies = policies
        self._hosts = make_hosts(case.deployment)
        self._engines = {
            host.name: Engine(case.deployment) for host in self._hosts
        }
        self._arrivals = Arrivals(case.deployment, case.load, seed)
        self._agenda = Agenda()
        self._tally = Tally()
        self._queues = [
            FairQueue(QueueSettings(max_wait_seconds=case.deployment.patience))
            for _ in policies
        ]
        self._jobs: dict[int, Job] = {}

    def run(self) -> Figures:
        """Play it to the end.

        :returns: the figures.
        """
        self._agenda.after(0, self._report)
        self._agenda.after(FAULT_AT, self._fail)
        self._schedule_arrival()
        self._agenda.run()
        return self._tally.sum_up()

    def _schedule_arrival(self) -> None:
        job = self._arrivals.next(self._agenda.now)
        if job.arrived_at < SECONDS:
            self._agenda.after(
                job.arrived_at - self._agenda.now, partial(self._arrive, job)
            )

    def _arrive(self, job: Job) -> None:
        self._schedule_arrival()
        if job.arrived_at >= WARM_UP:
            self._tally.offered[job.customer] += 1
        entry = job.number % len(self._policies)
        queue = self._queues[entry]
        # A request does not overtake those that wait already.
        if len(queue) or not self._send(job, entry):
            self._wait(job, queue)

    def _wait(self, job: Job, queue: FairQueue) -> None:
        if not self._case.fair:
            return
        deadline = job.arrived_at + self._case.deployment.patience
        waiter = Waiter(job.number, str(job.customer), job.tokens, deadline)
        match queue.offer(waiter, self._agenda.now):
            case Queued(displaced):
                self._jobs[job.number] = job
                if displaced:
                    self._jobs.pop(displaced.id)
            case NotQueued():
                """Refused at once."""

    def _send(self, job: Job, entry: int) -> bool:
        policy = self._policies[entry]
        name = policy.choose(job, self._hosts, self._agenda.now)
        if name is None:
            return False
        job.attempts += 1
        job.sent_at = self._agenda.now
        policy.note_sent(name, job, self._agenda.now)
        engine = self._engines[name]
        if engine.lost:
            fail = partial(self._fail_attempt, job, entry, name)
            self._agenda.after(CONNECT_TIMEOUT, fail)
        else:
            engine.accept(job)
            self._start(name)
        return True

    def _start(self, name: str) -> None:
        for job in self._engines[name].drop_late(self._agenda.now):
            policy = self._policies[job.number % len(self._policies)]
            policy.note_finished(name, Outcome.cancelled, 0, self._agenda.now)
        for started in self._engines[name].start():
            self._tally.started += 1
            self._tally.hits += started.hit
            finish = partial(self._finish, started, name)
            self._agenda.after(started.whole, finish)

    def _finish(self, started: Started, name: str) -> None:
        job = started.job
        engine = self._engines[name]
        entry = job.number % len(self._policies)
        engine.finish(job)
        if engine.lost:
            self._fail_attempt(job, entry, name)
            return
        first = self._agenda.now - started.whole + started.first_token
        late = (
            self._agenda.now - job.arrived_at > self._case.deployment.patience
        )
        if job.arrived_at >= WARM_UP and not late:
            self._tally.note_answer(job, first, self._agenda.now)
        policy = self._policies[entry]
        waited = first - job.sent_at
        policy.note_finished(name, Outcome.answered, waited, self._agenda.now)
        self._start(name)
        self._drain(entry)

    def _fail_attempt(self, job: Job, entry: int, name: str) -> None:
        policy = self._policies[entry]
        seconds = self._agenda.now - job.sent_at
        policy.note_finished(name, Outcome.failed, seconds, self._agenda.now)
        if job.attempts == 1 and policy.may_retry(name):
            self._send(job, entry)

    def _drain(self, entry: int) -> None:
        queue = self._queues[entry]
        for late in queue.expire(self._agenda.now):
            self._jobs.pop(late.id)
        while waiter := queue.peek(self._agenda.now):
            if not self._send(self._jobs[waiter.id], entry):
                return
            queue.take(self._agenda.now)
            self._jobs.pop(waiter.id)

    def _report(self) -> None:
        if self._agenda.now > SECONDS:
            return
        stopped = self._case.fault is Fault.reports_stopped
        if not (stopped and self._agenda.now >= FAULT_AT):
            for host in self._hosts:
                self._report_one(host.name)
        for entry, _ in enumerate(self._queues):
            self._drain(entry)
        self._agenda.after(REPORT_SECONDS, self._report)

    def _report_one(self, name: str) -> None:
        engine = self._engines[name]
        if engine.lost:
            return
        lag = self._case.lag
        report = engine.report(lag)
        arrives_at = self._agenda.now + lag
        for policy in self._policies:
            note = partial(policy.note_load, name, report, arrives_at)
            self._agenda.after(lag, note)

    def _fail(self) -> None:
        match self._case.fault:
            case Fault.straggler:
                self._engines['backend-1'].slowness = STRAGGLER_SLOWNESS
            case Fault.zone_lost:
                for host in self._hosts:
                    self._engines[host.name].lost = host.zone == 'c'
                self._agenda.after(LIST_LAG, self._shorten_list)
            case _:
                """Nothing, or the reports alone."""

    def _shorten_list(self) -> None:
        self._hosts = tuple(host for host in self._hosts if host.zone != 'c')
