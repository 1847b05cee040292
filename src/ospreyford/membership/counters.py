"""Membership counters."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class MembershipCounters:
    """Counters of one process's membership.

    :param probes: direct probes.
    :param failed_probes: direct probes without response.
    :param indirect_probes: indirect probes requested from helpers.
    :param unconfirmed_failures: unresponsive members not suspected because
        no helper confirmed the failure.
    :param suspicions: members suspected by this process's own probes.
    :param deaths: suspicions that expired in this process.
    :param refutations: suspicions about this process that it refuted.
    :param pauses: detected pauses of this process.
    :param repairs: buckets synchronized because their digests differed.
    :param malformed_messages: malformed messages dropped.
    :param oversized_attachments: attachments dropped for their size.
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
