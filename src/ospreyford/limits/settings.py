"""Settings of admission control, the fair queue and limit sharing."""

from __future__ import annotations

import msgspec

from ospreyford.settings.types import Count, Positive, Ratio


class GateSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of admission control.

    :param burst_seconds: seconds of its limit that a customer may save up.
    :param idle_seconds: a customer without requests for so long is forgotten.
    :param retry_after_seconds: when to come back if it can't be worked out.
    :param longest_wait_seconds: the latest that a caller is told to come back.
    """

    burst_seconds: Positive = 1
    idle_seconds: Positive = 60
    retry_after_seconds: Positive = 1
    longest_wait_seconds: Positive = 60


class QueueSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of the fair queue.

    :param length: requests waiting in all.
    :param customer_length: requests of one customer waiting.
    :param max_wait_seconds: longest wait, however late the deadline.
    """

    length: Count = 512
    customer_length: Count = 64
    max_wait_seconds: Positive = 2


class ShareSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of the sharing of limits between entries.

    :param reserved: part of each limit that is always split evenly over the
        known entries; the rest is leased by demand.
    :param period_seconds: time between two askings of leases.
    :param lease_seconds: how long a leased slice may be used.
    :param convergence_seconds: time in which the entries' views of who is
        live come to agree; while they disagree for longer, two homes may
        lease out the same limit.
    :param ask_timeout_seconds: how long to wait for a home entry's answer.
    :param bytes_per_second: sending rate that askings keep to; a home's
        answers cost about as much again.
    """

    reserved: Ratio = 0.2
    period_seconds: Positive = 1
    lease_seconds: Positive = 3
    convergence_seconds: Positive = 2
    ask_timeout_seconds: Positive = 0.5
    bytes_per_second: Positive = 700
