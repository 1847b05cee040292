"""Prometheus metrics of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

if TYPE_CHECKING:
    from ospreyford.rebalance.groupkey import GroupKey

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

        self.foreign_datagrams = Counter(
            'ospreyford_foreign_datagrams',
            'Datagrams of groups that this agent takes no part in.',
            registry=self.registry,
        )
        self.foreign_probes = Counter(
            'ospreyford_foreign_probes',
            'Ranks that were read in place of their agents and belong to '
            + 'another group.',
            registry=self.registry,
        )
        self.orders_refused = Counter(
            'ospreyford_orders_refused',
            'Orders of this agent that a rank refused as not possible.',
            ('order', 'cause'),
            registry=self.registry,
        )
        self.terms_fenced = Counter(
            'ospreyford_terms_fenced',
            'Terms of this agent that ended as a rank had seen a higher token.',
            registry=self.registry,
        )
        self.session_changes = Counter(
            'ospreyford_group_changes',
            'Changes of the group that this agent takes part in.',
            registry=self.registry,
        )
        self.group = Gauge(
            'ospreyford_agent_group',
            'Group that this agent takes part in.',
            ('service', 'group'),
            registry=self.registry,
        )

    def record_group(self, key: GroupKey | None) -> None:
        """Record a change of the group that this agent takes part in.

        :param key: the group, or ``None`` if there is none now.
        """
        self.session_changes.inc()
        self.group.clear()
        if key is not None:
            self.group.labels(*key).set(1)

    def render(self) -> bytes:
        """Render all metrics.

        :returns: text in the exposition format of Prometheus.
        """
        return generate_latest(self.registry)
