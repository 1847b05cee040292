"""Whether a backend has well begun an answer.

What crashes a backend as it begins an answer may do so only after some events.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

#: Events, and the time since the first of them, up to which an answer begins.
FEW_EVENTS = 2
BEGINNING_SECONDS = 0.3


class AnswerBeginning:
    """Beginning of the stream that one backend sends.

    :param cursor: id of the last event before it.
    :param notify_over: called once, when the stream has well begun.
    """

    def __init__(
        self, cursor: int | None, notify_over: Callable[[], None]
    ) -> None:
        self.is_over = False
        self._cursor = cursor or 0
        self._notify_over = notify_over
        self._first_at: float | None = None

    def record_events(self, cursor: int | None) -> None:
        """Record that events have come.

        :param cursor: id of the last one.
        """
        events = (cursor or 0) - self._cursor
        if self.is_over or not events:
            return
        now = time.monotonic()
        if self._first_at is None:
            self._first_at = now
        if events > FEW_EVENTS and now - self._first_at >= BEGINNING_SECONDS:
            self.is_over = True
            self._notify_over()
