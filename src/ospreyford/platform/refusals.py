"""Deduplication of log events for refused records."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.direct.decisions import RegistrationRefused
    from ospreyford.direct.zonedecisions import ZoneKeyRefused

#: Records remembered; all are forgotten when the limit is reached.
MAX_ENTRIES = 256


class RefusalFilter:
    """Suppresses repeated refusals of a record for the same reason.

    Otherwise a program that keeps rewriting an invalid entry floods the log.
    """

    def __init__(self) -> None:
        self._reasons: dict[str, str] = {}

    def record_refusal(
        self, key: str, refusal: RegistrationRefused | ZoneKeyRefused
    ) -> bool:
        """Record a refusal.

        :param key: key of the record.
        :param refusal: the record and the reason.
        :returns: whether to log it: the reason is new or has changed.
        """
        if self._reasons.get(key) == refusal.reason:
            return False
        if len(self._reasons) >= MAX_ENTRIES:
            self._reasons.clear()
        self._reasons[key] = refusal.reason
        return True
