"""What an entry tells and is told of requests that crash backends."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ospreyford.suspects.messages import SuspectReport

if TYPE_CHECKING:
    from ospreyford.direct.suspects import CrashSuspects


class SuspectSharing:
    """Reports to other processes, and merging of theirs.

    :param suspects: what this entry knows.
    """

    def __init__(self, suspects: CrashSuspects) -> None:
        self._suspects = suspects

    def compute_digest(self) -> int:
        """Compute a digest of all that is known.

        :returns: 32 bits; 0 if nothing is.
        """
        table = self._suspects.table
        if not len(table):
            return 0
        table.expire(time.monotonic())
        return table.compute_digest()

    def take_changes(self) -> SuspectReport | None:
        """Take what other processes are to be told of.

        :returns: the message, or ``None`` if nothing has changed.
        """
        changed = self._suspects.changed
        if not changed:
            return None
        self._suspects.changed = set()
        return self._make_report(changed)

    def merge(self, report: SuspectReport) -> SuspectReport | None:
        """Merge what another process knows.

        :param report: its suspected requests.
        :returns: all that is known, if that process does not know it.
        """
        suspects = self._suspects
        before = set(suspects.decisions.find_blamed())
        now = time.monotonic()
        for identity in suspects.table.merge(report.suspects, now):
            suspects.spare_answered(identity, now)
        suspects.log_blocked(before, 'told')
        if self.compute_digest() == report.digest:
            return None
        return self._make_report(None)

    def _make_report(self, identities: set[bytes] | None) -> SuspectReport:
        encoded = self._suspects.table.encode(time.monotonic(), identities)
        return SuspectReport(encoded, self.compute_digest())
