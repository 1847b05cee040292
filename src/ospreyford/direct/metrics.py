"""Prometheus metrics of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from ospreyford.direct.roomreports import RoomCollector
from ospreyford.observability.tallies import serve_tally

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.zonereport import ZoneRow

#: Bucket bounds of the latency histograms, in seconds.
LATENCY_BOUNDS: Final = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2.5, 4, 8,
)  # fmt: skip


class EntryMetrics:
    """Metrics of an entry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            'ospreyford_requests',
            'Requests by outcome.',
            ('service', 'verdict'),
            registry=self.registry,
        )
        self.latency = Histogram(
            'ospreyford_request_seconds',
            'Time from a request to the end of its answer.',
            ('service',),
            buckets=LATENCY_BOUNDS,
            registry=self.registry,
        )
        self.attempts = Counter(
            'ospreyford_sendings',
            'Sendings to back ends by outcome.',
            ('service', 'outcome'),
            registry=self.registry,
        )
        self.state_age = Gauge(
            'ospreyford_picture_age_seconds',
            'Age of what is known of the published state.',
            registry=self.registry,
        )
        self.zone_shares = Gauge(
            'ospreyford_zone_share',
            'Part of the requests that may go to a zone; 0 while it is out.',
            ('zone',),
            registry=self.registry,
        )
        self.zone_requests = Gauge(
            'ospreyford_zone_requests',
            'Requests of this entry under way in a zone.',
            ('zone',),
            registry=self.registry,
        )

    def show_zones(self, rows: Iterable[ZoneRow]) -> None:
        """Show the zones in place of those shown before.

        :param rows: one for each zone.
        """
        self.zone_shares.clear()
        self.zone_requests.clear()
        for row in rows:
            self.zone_shares.labels(row.zone).set(row.share)
            self.zone_requests.labels(row.zone).set(row.under_way)

    def render(self) -> bytes:
        """Render all metrics.

        :returns: text in the exposition format of Prometheus.
        """
        return generate_latest(self.registry)


def serve_tallies(context: EntryContext) -> None:
    """Serve numbers that the entry's components keep.

    :param context: shared state of the entry.
    """
    suspects = context.suspects
    tallies = (
        (
            'connections_opened',
            'Connections opened to back ends.',
            context.pool,
            'opened',
        ),
        (
            'connections_idle',
            'Idle connections to back ends.',
            context.pool,
            'idle_count',
        ),
        (
            'reading_turns',
            'Turns given to back ends that send more than others.',
            context.pool.reading.pacer,
            'turns',
        ),
        (
            'responses_dropped',
            'Unfinished responses dropped for want of memory.',
            context.pool.reading.buffers,
            'dropped',
        ),
        (
            'backends_limited',
            'Back ends that declare how many requests they take.',
            context.limits,
            'limited_count',
        ),
        (
            'backends_cold',
            'Back ends that are cold: they take few requests.',
            context.limits.cold,
            'cold_count',
        ),
        (
            'cold_unknown',
            '1 while it is unknown which back ends are cold.',
            context.limits.cold,
            'unknown_count',
        ),
        (
            'grants_asked',
            'Requests to agents for sendings to limited back ends.',
            context.limits.grants,
            'asked_count',
        ),
        (
            'grants_received',
            'Sendings that agents granted.',
            context.limits.grants,
            'granted_count',
        ),
        (
            'grants_lapsed',
            'Granted sendings that were not used in time.',
            context.limits.grants,
            'lapsed_count',
        ),
        (
            'backends_backing_off',
            'Back ends that want no requests for some time.',
            context.declarations,
            'backoff_count',
        ),
        (
            'backends_leaving',
            'Back ends that declared that they are leaving.',
            context.declarations,
            'leaving_count',
        ),
        (
            'zones_out',
            'Zones that operators have taken out of service.',
            context.zones,
            'out_count',
        ),
        (
            'retries_spent',
            'Retries taken from the shared budget.',
            context.retries,
            'spent_count',
        ),
        (
            'retries_denied',
            'Retries that the shared budget did not allow.',
            context.retries,
            'denied_count',
        ),
        (
            'crash_checks',
            'Connections opened to see whether a back end is down.',
            suspects.checker,
            'opened',
        ),
        (
            'requests_blocked',
            'Requests not sent because they crash back ends.',
            suspects,
            'blocked_count',
        ),
        (
            'store_restores',
            'Times that the store came back from an older copy.',
            context,
            'store_restores',
        ),
    )
    registry = context.metrics.registry
    registry.register(RoomCollector(context.gates))
    for name, text, owner, attribute in tallies:
        serve_tally(registry, f'ospreyford_{name}', text, owner, attribute)
