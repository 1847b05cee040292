"""Counters of membership."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class MembershipCounters:
    """Counters of one process's membership.

    :param probes: members probed directly.
    :param failed_probes: of these, not answered.
    :param relays: helpers asked to probe a silent member.
    :param isolated: silent members not suspected because no helper answered.
    :param suspicions: members suspected by this process's own probes.
    :param deaths: suspicions that ran out here.
    :param refutations: times that this process refuted others' belief.
    :param wakes: pauses of this process noticed.
    :param repairs: buckets compared because their digests differed.
    :param malformed: messages dropped.
    :param oversized_attachments: attachments above the byte limit, dropped.
    """

    probes: int = 0
    failed_probes: int = 0
    indirect_probes: int = 0
    unconfirmed_failures: int = 0
    suspicions: int = 0
    deaths: int = 0
    refutations: int = 0
    pauses: int = 0
    repairs: int = 0
    malformed_messages: int = 0
    oversized_attachments: int = 0
