"""Reachability of other zones."""

from __future__ import annotations

from collections import Counter
from typing import Final

#: Consecutive failed probes after which a zone is silent.
SILENT_ZONE_FAILURES: Final = 3


class ZoneReachability:
    """Counts failed probes into each zone since its last message."""

    def __init__(self) -> None:
        self._failures: Counter[str] = Counter()

    def record_message(self, zone: str) -> None:
        """Record a message from a zone.

        :param zone: the zone.
        """
        self._failures.pop(zone, None)

    def record_failure(self, zone: str) -> None:
        """Record a failed probe into a zone.

        :param zone: the zone.
        """
        self._failures[zone] += 1

    def has_failures(self, zone: str) -> bool:
        """Test whether the last probe into a zone failed.

        :param zone: the zone.
        :returns: whether no message has arrived since.
        """
        return self._failures[zone] > 0

    def list_silent_zones(self) -> frozenset[str]:
        """List the zones that have become silent.

        :returns: zones with several consecutive failed probes.
        """
        return frozenset(
            zone
            for zone, failures in self._failures.items()
            if failures >= SILENT_ZONE_FAILURES
        )
