"""Settings of membership."""

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
    """An ordinary wait would be taken for a pause of the process."""

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
    """How members watch each other.

    :param seeds: peer addresses to join through, besides the host list.
    :param period_seconds: one member is probed in each period.
    :param probe_timeout: seconds to wait for a direct answer.
    :param relay_timeout: seconds to wait for a helper's answer.
    :param helpers: members asked to probe a silent one.
    :param rings: neighbours probed in turn in the own zone.
    :param suspicion_seconds: a suspect that is silent so long is dead.
    :param pause_seconds: a gap in running so long means that this process
        was paused.
    :param wake_probes: members that must answer after a pause before the
        view counts again.
    :param forget_seconds: how long a dead member is remembered.
    :param small_zone: a zone with fewer members is watched by all zones.
    :param retransmit: a change is sent this many times the decimal logarithm
        of the number of members.
    :param change_bytes: changes carried by one message, at most.
    :param attached_bytes: attachments carried by one message, at most.
    :param sync_seconds: time in which repairs of the view may use
        ``sync_bytes``.
    :param sync_bytes: a process's own repairs in ``sync_seconds``, and the
        records in one answer, at most.
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
        """Refuse a pause that ordinary waits would reach."""
        longest = max(
            2 * self.period_seconds,
            self.probe_timeout,
            self.relay_timeout,
        )
        if self.pause_seconds <= longest:
            raise PauseTooShort(self.pause_seconds, longest)
