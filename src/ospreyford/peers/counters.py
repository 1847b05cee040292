"""Counters of peer messages."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class DropReason(StrEnum):
    """Why a message was dropped or a request got no response."""

    malformed = 'malformed'
    late_answer = 'late_answer'
    expired = 'expired'
    unknown_topic = 'unknown_topic'
    overloaded = 'overloaded'
    handler_failed = 'handler_failed'
    queue_full = 'queue_full'
    too_large = 'too_large'
    forged = 'forged'


@dataclass
class TopicCounters:
    """Messages and bytes of one topic, requests and responses combined."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


@dataclass
class PeerCounters:
    """Counters of one node; bytes are envelope sizes.

    :param topics: by topic requested or served here.
    :param drops: by reason.
    :param opened: connections opened to peers.
    :param replaced: connections replaced because the peer did not respond.
    """

    topics: dict[str, TopicCounters] = field(default_factory=dict)
    drops: dict[DropReason, int] = field(default_factory=dict)
    opened: int = 0
    replaced: int = 0

    def record_sent(self, topic: str, size: int) -> None:
        """Count a sent message.

        :param topic: its topic.
        :param size: envelope size in bytes.
        """
        counters = self._topic(topic)
        counters.sent_messages += 1
        counters.sent_bytes += size

    def record_received(self, topic: str, size: int) -> None:
        """Count a received message.

        :param topic: its topic.
        :param size: envelope size in bytes.
        """
        counters = self._topic(topic)
        counters.received_messages += 1
        counters.received_bytes += size

    def record_dropped(self, reason: DropReason) -> None:
        """Count a dropped message.

        :param reason: the reason.
        """
        self.drops[reason] = self.drops.get(reason, 0) + 1

    def total_bytes(self) -> int:
        """Sum the bytes of all topics, sent and received.

        :returns: envelope bytes.
        """
        return sum(
            counters.sent_bytes + counters.received_bytes
            for counters in self.topics.values()
        )

    def _topic(self, topic: str) -> TopicCounters:
        return self.topics.setdefault(topic, TopicCounters())
