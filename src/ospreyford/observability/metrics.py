"""Counters, gauges and histograms of one process."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily

if TYPE_CHECKING:
    from ospreyford.peers.counters import PeerCounters

#: Bucket bounds in seconds; 1.3 s is the promise for a first token.
FIRST_TOKEN_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.9, 1.3, 2.5, 5, 10)
TOTAL_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 15, 60)
#: Bucket bounds in seconds; 39 ms is the promise between tokens.
TOKEN_GAP_BUCKETS = (0.005, 0.01, 0.02, 0.03, 0.039, 0.06, 0.1, 0.25, 1, 5)

PREFIX = 'ospreyford'
#: The values of the labels, and the count.
LabelledCount = tuple[tuple[str, ...], int]
SERVICE = 'service'
BACKEND = 'backend'


class RequestMetrics:
    """What became of callers' requests.

    No label takes a value that a caller chooses freely: a caller who sends a
    new name with each request would fill the memory.

    :param registry: where the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.requests = Counter(
            'requests',
            'Requests by final outcome',
            (SERVICE, 'outcome'),
            namespace=PREFIX,
            registry=registry,
        )
        self.refused = Counter(
            'refused',
            'Requests refused before they were sent anywhere',
            ('reason',),
            namespace=PREFIX,
            registry=registry,
        )
        self.bad_input = Counter(
            'bad_input',
            'Malformed, oversized or too slow messages',
            ('kind',),
            namespace=PREFIX,
            registry=registry,
        )
        self.retries = Counter(
            'retries',
            'Attempts after the first',
            (SERVICE,),
            namespace=PREFIX,
            registry=registry,
        )
        self.hedges = Counter(
            'hedges',
            'Second attempts sent before the first one failed',
            (SERVICE,),
            namespace=PREFIX,
            registry=registry,
        )
        self.unknowns = Counter(
            'unknowns',
            'Attempts whose outcome could not be learned',
            (SERVICE,),
            namespace=PREFIX,
            registry=registry,
        )


class FlowMetrics:
    """Work in progress and its latency.

    :param registry: where the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.in_flight = Gauge(
            'in_flight',
            'Requests running now',
            (SERVICE,),
            namespace=PREFIX,
            registry=registry,
        )
        self.first_token = Histogram(
            'first_token_seconds',
            'From the head of the request to the first piece of the answer',
            (SERVICE,),
            namespace=PREFIX,
            registry=registry,
            buckets=FIRST_TOKEN_BUCKETS,
        )
        self.token_gap = Histogram(
            'token_gap_seconds',
            'Between two pieces of a streamed answer',
            (SERVICE,),
            namespace=PREFIX,
            registry=registry,
            buckets=TOKEN_GAP_BUCKETS,
        )
        self.total = Histogram(
            'request_seconds',
            'From the head of the request to the end of the answer',
            (SERVICE,),
            namespace=PREFIX,
            registry=registry,
            buckets=TOTAL_BUCKETS,
        )
        self.transferred = Counter(
            'transferred_bytes',
            'Bytes of requests and answers',
            ('direction',),
            namespace=PREFIX,
            registry=registry,
        )
        self.connections = Gauge(
            'connections',
            'Open connections',
            ('side',),
            namespace=PREFIX,
            registry=registry,
        )
        self.missed_beats = Counter(
            'missed_beats',
            'Connections given up because heartbeats stopped',
            ('side',),
            namespace=PREFIX,
            registry=registry,
        )


class FleetMetrics:
    """What this process holds and knows of the others.

    :param registry: where the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.records = Gauge(
            'records',
            'Requests in the execution record',
            namespace=PREFIX,
            registry=registry,
        )
        self.revision = Gauge(
            'configuration_revision',
            'Revision of the configuration in force',
            namespace=PREFIX,
            registry=registry,
        )
        self.members = Gauge(
            'members',
            'Processes of the system known here, by state',
            ('state',),
            namespace=PREFIX,
            registry=registry,
        )
        self.ejected = Gauge(
            'ejected_backends',
            'Back ends that get no work for a while',
            (SERVICE,),
            namespace=PREFIX,
            registry=registry,
        )
        self.platform_calls = Counter(
            'platform_calls',
            'Calls to the configuration service and the host list',
            ('target', 'outcome'),
            namespace=PREFIX,
            registry=registry,
        )


class Metrics:
    """All metrics of this process, in a registry of its own.

    ``requests``, ``flow`` and ``fleet`` group them by what they watch.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=True)
        self.requests = RequestMetrics(self.registry)
        self.flow = FlowMetrics(self.registry)
        self.fleet = FleetMetrics(self.registry)
        self._drops = DropCollector()
        self.registry.register(self._drops)

    def watch_drops(self, buffer: str, count: Callable[[], int]) -> None:
        """Expose how many lines a bounded buffer dropped.

        :param buffer: the label, ``logs`` or ``spans``.
        :param count: reads the number when metrics are scraped.
        """
        self._drops.counts[buffer] = count

    def watch_peers(self, counters: PeerCounters) -> None:
        """Expose the control messages of this process.

        :param counters: the node's counters, read when metrics are scraped.
        """
        self.registry.register(PeerCollector(counters))

    def watch_handshakes(self, failures: Mapping[tuple[str, str], int]) -> None:
        """Expose the failed TLS handshakes of this process.

        :param failures: number by kind of peer and fault, read at a scrape.
        """
        self.registry.register(
            CountCollector(
                'handshake_failures',
                'TLS handshakes that came to nothing',
                ('peer', 'fault'),
                failures.items,
            )
        )

    def watch_weights(self, counts: Mapping[str, int]) -> None:
        """Expose what became of the loads and drops of experts.

        :param counts: by kind, read when metrics are scraped.
        """
        self.registry.register(
            CountCollector(
                'weights',
                'Loads and drops of experts: orders, experts, reads put off',
                ('kind',),
                lambda: [((kind,), count) for kind, count in counts.items()],
            )
        )

    def render(self) -> bytes:
        """Write all metrics.

        :returns: Prometheus text format 0.0.4.
        """
        return generate_latest(self.registry)


class PeerCollector:
    """Reads the bytes of control messages at a scrape.

    :param counters: the node's counters.
    """

    def __init__(self, counters: PeerCounters) -> None:
        self._counters = counters

    def collect(self) -> Iterable[CounterMetricFamily]:
        """Read the counters.

        :returns: bytes by topic, drops by reason.
        """
        family = CounterMetricFamily(
            f'{PREFIX}_peer_bytes',
            'Bytes of control messages',
            labels=['topic', 'direction'],
        )
        for topic, traffic in self._counters.topics.items():
            family.add_metric([topic, 'sent'], traffic.sent_bytes)
            family.add_metric([topic, 'received'], traffic.received_bytes)
        drops = CounterMetricFamily(
            f'{PREFIX}_peer_drops',
            'Control messages dropped',
            labels=['reason'],
        )
        for reason, number in self._counters.drops.items():
            drops.add_metric([reason.value], number)
        return [family, drops]


class CountCollector:
    """Reads counts that another part of the process keeps, at a scrape.

    :param name: the metric's name without prefix and suffix.
    :param text: what it counts.
    :param labels: the labels' names.
    :param read: gives the labels' values and the count of each.
    """

    def __init__(
        self,
        name: str,
        text: str,
        labels: tuple[str, ...],
        read: Callable[[], Iterable[LabelledCount]],
    ) -> None:
        self._name = f'{PREFIX}_{name}'
        self._text = text
        self._labels = labels
        self._read = read

    def collect(self) -> Iterable[CounterMetricFamily]:
        """Read the counts.

        :returns: one metric family.
        """
        family = CounterMetricFamily(
            self._name, self._text, labels=self._labels
        )
        for found, count in self._read():
            family.add_metric(found, count)
        return [family]


class DropCollector:
    """Reads the dropped lines of each bounded buffer at a scrape."""

    def __init__(self) -> None:
        self.counts: dict[str, Callable[[], int]] = {}

    def collect(self) -> Iterable[CounterMetricFamily]:
        """Read the counts.

        :returns: one metric family.
        """
        family = CounterMetricFamily(
            f'{PREFIX}_dropped_lines',
            'Log lines and spans dropped because their destination was slow',
            labels=['buffer'],
        )
        for buffer, count in self.counts.items():
            family.add_metric([buffer], count())
        return [family]
