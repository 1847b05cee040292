"""Membership settings."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ospreyford.settings.types import (
    Address,
    Bytes,
    Count,
    CountOrNone,
    Seconds,
)


@dataclass(unsafe_hash=True)
class PauseTooShort(ValueError):
    """``pause_seconds`` does not exceed the longest regular wait."""

    pause_seconds: float
    longest_wait: float

    def __str__(self) -> str:
        return (
            f'pause_seconds must be above {self.longest_wait}'
            f', not {self.pause_seconds}'
        )


class MembershipSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of probing, gossip and anti-entropy.

    :param seeds: peer addresses to join through, besides the host list.
    :param period_seconds: probe interval.
    :param probe_timeout: timeout of a direct probe in seconds.
    :param relay_timeout: timeout of an indirect probe in seconds.
    :param helpers: indirect probes per unresponsive member.
    :param rings: neighbours probed in the own zone.
    :param suspicion_seconds: time after which a suspect is declared dead.
    :param pause_seconds: shortest gap in activity that counts as a pause.
    :param wake_probes: members that must respond after a pause before the
        view is no longer stale.
    :param forget_seconds: retention period of dead members.
    :param small_zone: zones with fewer members are monitored by all zones.
    :param retransmit: transmissions of a change, as a multiple of the
        decimal logarithm of the member count.
    :param change_bytes: bytes of changes per message.
    :param attached_bytes: bytes of attachments per message.
    :param sync_seconds: time in which repairs may use ``sync_bytes``.
    :param sync_bytes: bytes of repairs per ``sync_seconds``, and of records
        per response.
    """

    seeds: tuple[Address, ...] = ()
    period_seconds: Seconds = 1
    probe_timeout: Seconds = 0.5
    relay_timeout: Seconds = 1.2
    helpers: CountOrNone = 2
    rings: Count = 8
    suspicion_seconds: Seconds = 5
    pause_seconds: Seconds = 4
    wake_probes: Count = 3
    forget_seconds: Seconds = 86_400
    small_zone: CountOrNone = 4
    retransmit: Count = 3
    change_bytes: Bytes = 160
    attached_bytes: Bytes = 160
    sync_seconds: Seconds = 4
    sync_bytes: Bytes = 4000

    def __post_init__(self) -> None:
        """Check that regular waits do not count as pauses."""
        longest = max(
            2 * self.period_seconds,
            self.probe_timeout,
            self.relay_timeout,
        )
        if self.pause_seconds <= longest:
            raise PauseTooShort(self.pause_seconds, longest)
