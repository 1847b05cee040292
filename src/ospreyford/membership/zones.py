"""Other zones that are not heard from."""

from __future__ import annotations

from collections import Counter
from typing import Final

#: Failed probes in a row, of random members, before a zone is silent.
SILENT_ZONE_FAILURES: Final = 3


class ZoneReachability:
    """Counts failed probes into other zones since the last message."""

    def __init__(self) -> None:
        self._failures: Counter[str] = Counter()

    def record_message(self, zone: str) -> None:
        """Note that a message came from a zone.

        :param zone: the zone.
        """
        self._failures.pop(zone, None)

    def record_failure(self, zone: str) -> None:
        """Note that a member of a zone did not answer.

        :param zone: the zone.
        """
        self._failures[zone] += 1

    def has_failures(self, zone: str) -> bool:
        """Tell whether the last probe into a zone failed.

        :param zone: the zone.
        :returns: whether nothing was heard from it since.
        """
        return self._failures[zone] > 0

    def list_silent(self) -> frozenset[str]:
        """List the zones from which nothing is heard.

        :returns: zones of which several members in a row were silent.
        """
        return frozenset(
            zone
            for zone, failures in self._failures.items()
            if failures >= SILENT_ZONE_FAILURES
        )
