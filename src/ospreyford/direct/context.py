"""State shared by the components of an entry."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from ospreyford.direct.backendrequest import RequestResources
from ospreyford.direct.connections import (
    ConnectionPool,
    compute_connection_share,
)
from ospreyford.direct.declarations import BackendDeclarations
from ospreyford.direct.freshness import StateFreshness
from ospreyford.direct.keyguard import KeyGuard
from ospreyford.direct.metrics import EntryMetrics, serve_tallies
from ospreyford.direct.rankgroups import RankGroups
from ospreyford.direct.registrationguard import RegistrationGuard
from ospreyford.direct.registry import BackendRegistry
from ospreyford.direct.retries import RetryMeter
from ospreyford.direct.retrydetection import RetryDetector
from ospreyford.direct.suspects import CrashSuspects
from ospreyford.direct.suspectsharing import SuspectSharing

if TYPE_CHECKING:
    from ospreyford.direct.call import Call
    from ospreyford.direct.catalog import Catalog
    from ospreyford.direct.gate import StreamGate
    from ospreyford.direct.headernames import HeaderNames
    from ospreyford.direct.settings import DirectSettings
    from ospreyford.observability.logs import ChangeLog

#: Time after the start in which agents may not have heard of all entries.
STARTUP_SECONDS = 1.5


@dataclass
class EntryContext:
    """State shared by the components of an entry.

    :param settings: the current settings.
    :param header_names: names of header fields.
    :param log: receives log events.
    :param random: source of randomness.
    """

    settings: DirectSettings
    header_names: HeaderNames
    log: ChangeLog
    random: Random = field(default_factory=Random)
    catalog: Catalog | None = None
    is_stopping: bool = False

    def __post_init__(self) -> None:
        """Create the components."""
        self.backends = BackendRegistry()
        self.groups = RankGroups(self.backends)
        self.retries = RetryMeter(self.settings.retries, self.log)
        self.budget = self.retries.budget
        self.freshness = StateFreshness(self.settings.bounds)
        self.registration_guard = RegistrationGuard()
        self.key_guard = KeyGuard(self.settings.bounds)
        #: Restores of the store from an older copy.
        self.store_restores = 0
        #: Whether an agent has told what other entries know.
        self.is_informed = False
        self.suspects = CrashSuspects(
            self.log, self.settings, self.header_names
        )
        self.suspect_sharing = SuspectSharing(self.suspects)
        self.pool = ConnectionPool(
            self.compute_connection_share, self.settings.buffer_bytes
        )
        self.declarations = BackendDeclarations(
            self.header_names, self.settings.name, self.log
        )
        self.limits = self.declarations.limits
        self.gates: dict[str, StreamGate] = {}
        self.zones = self.declarations.zones
        self.room = self.declarations.room
        self.limits.cold.freshness = self.freshness
        self.metrics = EntryMetrics()
        serve_tallies(self)
        self.started_at = time.monotonic()
        self.retry_detector = RetryDetector()
        self.resources = RequestResources(
            self.pool, self.header_names, self.declarations
        )

    def record_entry_count(self, entries: int) -> None:
        """Record the number of entries that an agent reported.

        :param entries: as counted by the agent.
        """
        now = time.monotonic()
        self.retries.record_entry_count(entries, now)
        self.limits.shares.record_count(entries, now)

    def count_entries(self) -> int:
        """Count the entries that share a group.

        :returns: number of entries, as assumed until an agent has told it.
        """
        counted = self.limits.shares.get_recent_count()
        if counted is None:
            return self.settings.retries.assumed_entries
        return max(counted, 1)

    def compute_connection_share(self, service: str) -> int:
        """Compute how many connections this entry may hold at one backend.

        :param service: the backend's service.
        :returns: number of connections.
        """
        known = self.catalog.services.get(service) if self.catalog else None
        if known is None:
            return 1
        return compute_connection_share(
            known.max_connections, self.count_entries()
        )

    def is_starting(self) -> bool:
        """Check whether this entry started recently.

        :returns: whether agents may not have heard of all entries yet.
        """
        return time.monotonic() - self.started_at < STARTUP_SECONDS

    def apply_settings(self, settings: DirectSettings) -> None:
        """Apply changed bounds and retry settings.

        :param settings: the new settings; addresses are used at the start only.
        """
        self.settings = settings
        self.budget.settings = settings.retries
        self.freshness.bounds = settings.bounds
        self.key_guard.bounds = settings.bounds

    def may_serve(self, call: Call) -> bool:
        """Check whether a request's key is still valid before it is sent.

        The key may have been revoked since the request was admitted.

        :param call: the request.
        :returns: whether it may be sent to a backend now.
        """
        if call.customer is None:
            return True
        known = self.catalog.customers if self.catalog else None
        is_known = known is None or call.key in known
        return is_known and self.may_serve_keys()

    def may_serve_keys(self) -> bool:
        """Check whether keys of the configuration may be accepted.

        :returns: whether the view of the store is fresh, and the store lacks no
            configuration that another process knows of.
        """
        if not self.freshness.may_serve_keys():
            return False
        if self.settings.bounds.revoke_seconds is None:
            return True
        return self.key_guard.may_accept(
            self.get_version(),
            self.freshness.confirmed_at,
            is_starting=self.is_starting(),
        )

    def get_version(self) -> int:
        """Return the version of the configuration in force.

        :returns: the version; 0 before the first configuration.
        """
        return self.catalog.version if self.catalog else 0

    def is_ready(self) -> bool:
        """Check whether the entry can serve requests.

        :returns: whether catalog and backends are known and fresh.
        """
        return (
            not self.is_stopping
            and self.is_configured()
            and self.may_serve_keys()
        )

    def compute_state_age_ms(self) -> int:
        """Compute the age of the view of the store.

        :returns: milliseconds, or -1 before the first confirmation.
        """
        age = self.freshness.compute_age()
        return -1 if age is None else int(age * 1000)

    def is_configured(self) -> bool:
        """Check whether the store has been read.

        :returns: whether catalog and backends are known.
        """
        return self.catalog is not None and len(self.backends) > 0
