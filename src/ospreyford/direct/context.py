"""What an entry knows and uses while it serves requests."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import curio

from ospreyford.direct.admission import GroupLoad
from ospreyford.direct.backendrequest import RequestResources
from ospreyford.direct.budget import RetryBudget
from ospreyford.direct.connections import ConnectionPool
from ospreyford.direct.freshness import StateFreshness
from ospreyford.direct.gate import StreamGate
from ospreyford.direct.metrics import EntryMetrics
from ospreyford.direct.registry import BackendRegistry
from ospreyford.direct.retrydetection import RetryDetector
from ospreyford.observability.tallies import serve_tally

if TYPE_CHECKING:
    from ospreyford.direct.call import Call
    from ospreyford.direct.catalog import Catalog
    from ospreyford.direct.headernames import HeaderNames
    from ospreyford.direct.settings import DirectSettings
    from ospreyford.observability.logs import ChangeLog


#: Time after the start in which requests wait for the first reading, seconds;
#: callers leave a request alone that was not read for a second.
STARTUP_WAIT_SECONDS = 0.8
STARTUP_POLL_SECONDS = 0.02
#: Time in which an agent that starts, or begins to coordinate, may not have
#: heard of all entries yet, in seconds: three greetings at their usual pace.
ENTRY_COUNT_WINDOW_SECONDS = 1.5


@dataclass
class EntryContext:
    """The parts of one entry.

    :param settings: as read at the start.
    :param dialect: names of header fields.
    :param log: where decisions go.
    :param random: draws between equals.
    """

    settings: DirectSettings
    header_names: HeaderNames
    log: ChangeLog
    random: Random = field(default_factory=Random)
    catalog: Catalog | None = None
    is_stopping: bool = False

    def __post_init__(self) -> None:
        """Make the parts."""
        self.backends = BackendRegistry()
        self.budget = RetryBudget(self.settings.retries)
        self.freshness = StateFreshness(self.settings.bounds)
        self.pool = ConnectionPool()
        self.metrics = EntryMetrics()
        serve_tally(
            self.metrics.registry,
            'ospreyford_connections_opened',
            'Connections opened to back ends.',
            self.pool,
            'opened',
        )
        self.started_at = time.monotonic()
        #: When how many entries were counted: falling counts.
        self._entry_counts: deque[tuple[float, int]] = deque()
        self.gates: dict[str, StreamGate] = {}
        self.retry_detector = RetryDetector()
        self.resources = RequestResources(self.pool, self.header_names)

    def find_gate(self, call: Call) -> StreamGate | None:
        """Find where a request waits for its admission.

        :param call: the request.
        :returns: the gate, or ``None`` if its service has no rank groups.
        """
        catalog = self.catalog
        service = catalog.services.get(call.service) if catalog else None
        if service is None or service.engine is None or not call.route.max_gap:
            return None
        gate = self.gates.get(call.service)
        if gate is None:
            gate = StreamGate(
                call.route.max_gap,
                self.backends.count_slots(call.service),
                self.budget.entries,
            )
            self.gates[call.service] = gate
        return gate

    async def update_group_load(self, service: str, load: GroupLoad) -> None:
        """Take over what a coordinator tells of its group.

        :param service: the service that the group serves.
        :param load: what it tells; without the time of an empty pass, which
            is published.
        """
        gate = self.gates.get(service)
        known = self.catalog.services.get(service) if self.catalog else None
        if gate is None or known is None or known.engine is None:
            return
        reported = load._replace(
            base_seconds=known.engine.pass_seconds,
            slots=self.backends.count_slots(service),
        )
        await gate.update_load(reported, self.budget.entries)

    def record_entry_count(self, entries: int) -> None:
        """Note how many entries share what all have.

        Load pattern: all hosts were lost and are back, or another agent has
        begun to coordinate. Agents have heard of one or two of the entries
        only; divided by these, each entry took all of the group's room for
        itself, and three together filled it twice. The highest count of the
        last time is right.

        :param entries: as an agent has counted them.
        """
        now = time.monotonic()
        while self._entry_counts and self._entry_counts[-1][1] <= entries:
            self._entry_counts.pop()
        self._entry_counts.append((now, entries))
        while self._entry_counts[0][0] < now - ENTRY_COUNT_WINDOW_SECONDS:
            self._entry_counts.popleft()
        self.budget.entries = max(self._entry_counts[0][1], 1)

    def is_starting(self) -> bool:
        """Tell whether this entry and others may just have started.

        :returns: whether agents may not have heard of all entries yet.
        """
        return time.monotonic() - self.started_at < ENTRY_COUNT_WINDOW_SECONDS

    def apply_settings(self, settings: DirectSettings) -> None:
        """Put changed bounds and another retry budget in force.

        :param settings: the new ones; addresses are used at the start only.
        """
        self.settings = settings
        self.budget.settings = settings.retries
        self.freshness.bounds = settings.bounds

    def may_serve(self, call: Call) -> bool:
        """Tell whether a request's key is still good as it is sent on.

        A request may have waited, or goes on at another back end, since its key
        was looked up.

        :param call: the request.
        :returns: whether it may be sent to a back end now.
        """
        if call.customer is None:
            return True
        known = self.catalog.customers if self.catalog else None
        is_known = known is None or call.key in known
        return is_known and self.freshness.may_serve_keys()

    async def wait_until_configured(self) -> bool:
        """Wait for the first reading of the store, shortly after the start.

        Callers' connections are there before the configuration is. A refusal
        would cost them one of their few tries, for some hundredths of a
        second.

        :returns: whether catalog and back ends are known.
        """
        until = self.started_at + STARTUP_WAIT_SECONDS
        while not self._is_configured() and time.monotonic() < until:
            await curio.sleep(STARTUP_POLL_SECONDS)
        return self._is_configured()

    def is_ready(self) -> bool:
        """Tell whether callers are served well here.

        :returns: whether the catalog and back ends are known and fresh.
        """
        return (
            not self.is_stopping
            and self._is_configured()
            and self.freshness.may_serve_keys()
        )

    def compute_state_age_ms(self) -> int:
        """Tell the age of the picture.

        :returns: milliseconds, or -1 without a picture.
        """
        age = self.freshness.compute_age()
        return -1 if age is None else int(age * 1000)

    def _is_configured(self) -> bool:
        return self.catalog is not None and len(self.backends) > 0
