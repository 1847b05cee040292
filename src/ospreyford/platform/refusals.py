"""Which refused registrations have been logged already."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.direct.decisions import RegistrationRefused

#: Refused registrations that are remembered; beyond that they are logged anew.
MAX_ENTRIES = 256


class RefusalFilter:
    """Tells a new refusal from one that only repeats the last.

    Another program may write the same useless entry many times a second, and
    each writing would be a line of the log.
    """

    def __init__(self) -> None:
        self._reasons: dict[str, str] = {}

    def record_refusal(self, refusal: RegistrationRefused) -> bool:
        """Note a refusal.

        :param refusal: the registration and what is wrong with it.
        :returns: whether it is to be logged: the reason has changed.
        """
        if self._reasons.get(refusal.backend) == refusal.reason:
            return False
        if len(self._reasons) >= MAX_ENTRIES:
            self._reasons.clear()
        self._reasons[refusal.backend] = refusal.reason
        return True
