"""Migration of streams away from slow backends."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ospreyford.direct.callgroups import CallGroups
from ospreyford.direct.decisions import StreamMoved
from ospreyford.direct.selection import find_migration_target, is_slow

if TYPE_CHECKING:
    from ospreyford.direct.call import Call
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.registry import BackendState

MILLISECONDS = 1000


class StreamMigrator:
    """Decides whether a stream migrates and reserves the retry for it.

    :param call: the request.
    :param context: shared state of the entry.
    :param max_attempts: maximum number of attempts of a request.
    """

    def __init__(
        self, call: Call, context: EntryContext, max_attempts: int
    ) -> None:
        self._call = call
        self._context = context
        self._max_attempts = max_attempts
        self._has_reserved_retry = False

    def should_migrate(self, backend: BackendState) -> bool:
        """Check whether the stream should migrate now.

        :param backend: the backend.
        :returns: whether it should; a retry is then reserved, since with an
            empty budget the stream would be cut.
        """
        # Called for every chunk: check the cheap conditions first.
        if not is_slow(backend) or not self._may_migrate():
            return False
        context = self._context
        now = time.monotonic()
        members = CallGroups(self._call, context).select_members(
            context.backends.list_available(self._call.service)
        )
        # A stream that is taken off its rank must not wait for a slot.
        backends = [
            one
            for one in context.declarations.list_accepting(members, now)
            if context.limits.get_rate(one.server) is None
        ]
        if find_migration_target(backends, backend) is None:
            return False
        if not context.retries.spend(self._call.service):
            return False
        self._has_reserved_retry = True
        context.log.log_change(
            StreamMoved(
                request_id=self._call.id,
                backend=backend.server.id,
                pace=round(backend.slowdown, 2),
                pace_age_ms=int((now - backend.reported_at) * MILLISECONDS),
                event=self._call.cursor,
            )
        )
        return True

    def consume_reserved_retry(self) -> bool:
        """Consume the retry reserved for a migration.

        :returns: whether there was one.
        """
        was_reserved = self._has_reserved_retry
        self._has_reserved_retry = False
        return was_reserved

    def _may_migrate(self) -> bool:
        call = self._call
        return (
            call.is_retryable()
            and call.has_attempts_left()
            and len(call.attempts) < self._max_attempts
            and self._context.may_serve(call)
        )
