"""What tells an entry that a backend is cold, and until when."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ospreyford.direct.colddecisions import ColdUnreadable

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.direct.registry import BackendServer
    from ospreyford.observability.logs import ChangeLog

#: Unreadable numbers that are logged, each once.
MAX_LOGGED_PROBLEMS: Final = 1024


@dataclass
class ColdState:
    """What is known of one backend process.

    Times are seconds on the boot clock.

    :param server: its latest registration.
    :param started_at: estimated start, if only that is known.
    :param registered_until: end as registered.
    :param told_until: end as told in a response.
    :param told_at: when a response told it.
    :param is_cold: whether it was logged as cold.
    """

    server: BackendServer
    started_at: float | None = None
    registered_until: float = -math.inf
    told_until: float = -math.inf
    told_at: float = -math.inf
    is_cold: bool = False

    def find_end(self, cold_seconds: float) -> float:
        """Find when it is warm.

        :param cold_seconds: time for which a backend of its service is cold
            after a start.
        :returns: time on the boot clock.
        """
        from_start = -math.inf
        if self.started_at is not None:
            from_start = self.started_at + cold_seconds
        return max(from_start, self.registered_until, self.told_until)

    def find_sign(self) -> str:
        """Find out what tells the end.

        :returns: word for the log.
        """
        if self.told_until > self.registered_until:
            return 'response'
        return 'registration' if self.started_at is None else 'start'


class UnreadableNumbers:
    """Unreadable numbers about cold backends, each logged once.

    :param log: receives log events.
    """

    def __init__(self, log: ChangeLog) -> None:
        self._log = log
        self._logged: set[tuple[str, str]] = set()

    def record(self, subject: str, problems: Iterable[str]) -> None:
        """Record what could not be read.

        :param subject: id of a backend or name of a service.
        :param problems: what is wrong.
        """
        for reason in problems:
            is_logged = (subject, reason) in self._logged
            if not is_logged and len(self._logged) < MAX_LOGGED_PROBLEMS:
                self._logged.add((subject, reason))
                self._log.log_change(ColdUnreadable(subject, reason))
