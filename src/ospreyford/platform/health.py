"""Outages and restores of the platform's store, as the entry sees them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ospreyford.direct.decisions import (
    StoreLost,
    StoreRegained,
)
from ospreyford.direct.restoredecisions import GenerationUnreadable

if TYPE_CHECKING:
    from ospreyford.direct.context import EntryContext
    from ospreyford.platform.errors import PlatformError

#: Registrations missing for this long after a store outage may have expired
#: because of it.
REREGISTRATION_GRACE_SECONDS = 2.5


class StoreHealth:
    """Tracks whether the store responds, and logs when that changes.

    :param context: the entry's shared state.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._last_outage_at: float | None = None
        self._is_lost = False
        self._is_generation_problem_logged = False

    def record_response(self, revision: int) -> None:
        """Record that the store responds.

        :param revision: the last known revision.
        """
        if not self._is_lost:
            return
        self._is_lost = False
        self._last_outage_at = time.monotonic()
        self._context.log.log_change(StoreRegained(revision))

    def record_loss(self, error: PlatformError) -> None:
        """Record that a call failed.

        :param error: why.
        """
        self._last_outage_at = time.monotonic()
        if self._is_lost:
            return
        self._is_lost = True
        reason = getattr(error, 'reason', type(error).__name__)
        self._context.log.log_change(
            StoreLost(reason, self._context.compute_state_age_ms())
        )

    def record_restore(self) -> None:
        """Record a restore: it has the effects of an outage."""
        self._last_outage_at = time.monotonic()

    def record_generation_problem(self, problem: str | None) -> None:
        """Log once why restores cannot be noticed.

        :param problem: what is wrong with the store's generation, if anything.
        """
        if problem is None or self._is_generation_problem_logged:
            return
        self._is_generation_problem_logged = True
        self._context.log.log_change(GenerationUnreadable(problem))

    def may_registrations_return(self) -> bool:
        """Check whether missing registrations may have lapsed in an outage.

        :returns: whether the last outage ended a moment ago.
        """
        return (
            self._last_outage_at is not None
            and time.monotonic() - self._last_outage_at
            < REREGISTRATION_GRACE_SECONDS
        )
