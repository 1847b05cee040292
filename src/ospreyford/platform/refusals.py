"""Deduplication of log events for refused registrations."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.direct.decisions import RegistrationRefused

#: Registrations remembered; all are forgotten when the limit is reached.
MAX_ENTRIES = 256


class RefusalFilter:
    """Suppresses repeated refusals of a registration for the same reason.

    Otherwise a program that keeps rewriting an invalid entry floods the log.
    """

    def __init__(self) -> None:
        self._reasons: dict[str, str] = {}

    def record_refusal(self, refusal: RegistrationRefused) -> bool:
        """Record a refusal.

        :param refusal: the registration and the reason.
        :returns: whether to log it: the reason is new or has changed.
        """
        if self._reasons.get(refusal.backend) == refusal.reason:
            return False
        if len(self._reasons) >= MAX_ENTRIES:
            self._reasons.clear()
        self._reasons[refusal.backend] = refusal.reason
        return True
