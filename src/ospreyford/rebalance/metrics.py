"""Prometheus metrics of an agent."""

from __future__ import annotations

from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    generate_latest,
)

CHANGE_BUCKETS_SECONDS: Final = (0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 4)


class AgentMetrics:
    """Metrics of an agent."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.orders = Counter(
            'ospreyford_rank_orders',
            'Orders carried out on the rank beside the agent.',
            ('order', 'outcome'),
            registry=self.registry,
        )
        self.changes = Counter(
            'ospreyford_map_changes',
            'Changes of maps that this agent coordinated.',
            ('outcome',),
            registry=self.registry,
        )
        self.copies = Counter(
            'ospreyford_expert_copies',
            'Experts copied by these changes.',
            registry=self.registry,
        )
        self.change_seconds = Histogram(
            'ospreyford_map_change_seconds',
            'Time from the plan to the end of the change.',
            buckets=CHANGE_BUCKETS_SECONDS,
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Render all metrics.

        :returns: text in the exposition format of Prometheus.
        """
        return generate_latest(self.registry)
