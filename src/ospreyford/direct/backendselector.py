"""Selection of the backend for each attempt of a request."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from ospreyford.direct.backendlimits import (
    MAX_SLOT_DELAY_SECONDS,
    name_process,
)
from ospreyford.direct.call import DROPPED
from ospreyford.direct.callgroups import CallGroups
from ospreyford.direct.freshness import read_boot_clock
from ospreyford.direct.selection import SelectionCriteria
from ospreyford.direct.slotselection import (
    AskFirst,
    NoSlot,
    SendLater,
    SendNow,
    SlotSelector,
)
from ospreyford.direct.verdicts import Cause
from ospreyford.direct.zonereturn import leave_out_returning

if TYPE_CHECKING:
    from ospreyford.direct.call import Call
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.migration import StreamMigrator
    from ospreyford.direct.registry import BackendState
    from ospreyford.direct.slotselection import Selection

#: Maximum number of attempts per request, including refused ones: a closed
#: group refuses for some seconds, and each attempt spends the shared budget.
MAX_ATTEMPTS = 6
#: Bounds of the retry time of requests without a slot; another entry may have
#: one sooner than this one.
MIN_RETRY_AFTER_SECONDS = 0.3
MAX_RETRY_AFTER_SECONDS = 2.0
#: Spreads the callers that come back as backends take requests again.
MAX_JITTER_SECONDS = 0.5
#: Requests to agents, without a grant, after which no further one is asked.
MAX_VAIN_ASKS = 3
#: Bounds of the retry time while all zones are out: nobody knows when one is
#: taken back, and callers that come back together would be a rush on it.
MIN_ZONES_OUT_SECONDS = 1.0
MAX_ZONES_OUT_SECONDS = 3.0
#: Reasons that hold for all backends.
BARRIERS: Final = frozenset((Cause.key_withdrawn, Cause.crashes_backends))


@dataclass(frozen=True)
class Unavailable:
    """The request cannot be sent now.

    :param cause: the reason; ``None`` if it is that of the last attempt.
    :param retry_after: retry time in seconds; ``None`` if nothing is known.
    """

    cause: Cause | None = None
    retry_after: float | None = None


@dataclass(frozen=True)
class OtherGroup:
    """The request's group has no backend for it, but another one may."""


class BackendSelector:
    """Selects the backends of one request.

    :param call: the request.
    :param context: shared state of the entry.
    :param migrator: holds the retry that is reserved for a migration.
    :param in_group: whether the backends are ranks of a group.
    """

    def __init__(
        self,
        call: Call,
        context: EntryContext,
        migrator: StreamMigrator,
        *,
        in_group: bool,
    ) -> None:
        self._call = call
        self._context = context
        self._migrator = migrator
        self._in_group = in_group
        self._slots = SlotSelector(context.limits, context.random)
        self.groups = CallGroups(call, context)
        #: Ids of backends that a search passes over; ``None`` without a search.
        self.passed_over: set[str] | None = None
        #: Whether the retry of a group that had no backend is still unused.
        self._is_paid = False
        self._may_ask = True
        self._vain_asks = 0
        #: End of the waits for grants, in seconds on the boot clock.
        self._asks_until: float | None = None

    async def select(
        self, *, may_leave: bool = True
    ) -> BackendState | Unavailable | OtherGroup:
        """Select the backend of the next attempt, and wait for its slot.

        :param may_leave: whether another group may be told to take it.
        :returns: the backend; the request must be sent to it at once.
        """
        barrier = self._find_barrier()
        if barrier is not None:
            return Unavailable(barrier)
        if self._call.attempts and not self._may_retry():
            return Unavailable()
        self._may_ask = True
        self._vain_asks = 0
        self._asks_until = None
        selected: BackendState | Unavailable | None = None
        while selected is None:
            selected = await self._select_once()
        if not isinstance(selected, Unavailable) or not may_leave:
            return selected
        # Another group may run what this one doesn't take.
        if selected.cause in BARRIERS or not self.groups.leave():
            return selected
        self._is_paid = bool(self._call.attempts)
        return OtherGroup()

    def list_usable(self) -> list[BackendState]:
        """List the backends that may get the request now.

        :returns: the backends.
        """
        now = time.monotonic()
        selectable, _ = self._list_selectable(now)
        return self._list_accepting(selectable, now)

    def find_unavailable(self) -> Unavailable | None:
        """Find out whether no backend takes this request.

        :returns: when the caller should come back; ``None`` if a backend takes
            it, or none is known.
        """
        if not self._context.declarations.has_any():
            return None
        now = time.monotonic()
        backends, _ = self._list_selectable(now)
        if not backends or self._list_accepting(backends, now):
            return None
        return self._make_unavailable(now)

    async def _select_once(self) -> BackendState | Unavailable | None:
        """Select a backend or wait for one.

        :returns: ``None`` if the wait was in vain.
        """
        selectable, criteria = self._list_selectable(time.monotonic())
        backends = self._list_accepting(selectable, criteria.now)
        if selectable and not backends:
            return self._make_unavailable(criteria.now)
        connectable = _list_connectable(self._context, backends)
        if backends and not connectable:
            return Unavailable(Cause.limited, MIN_RETRY_AFTER_SECONDS)
        candidates = leave_out_returning(
            connectable,
            criteria.excluded,
            self._context.zones,
            criteria.now,
            self._context.random,
        )
        selection = self._slots.select(
            candidates,
            criteria,
            self._call.compute_remaining(criteria.now),
            may_ask=self._may_ask,
        )
        return await self._follow(selection, criteria.now)

    async def _follow(
        self, selection: Selection | None, now: float
    ) -> BackendState | Unavailable | None:
        match selection:
            case SendNow(backend=backend):
                self._call.send_before = self._context.limits.take_slot(
                    backend.server, now
                )
                return backend
            case AskFirst(backend=backend, seconds=seconds):
                return await self._ask_first(backend, seconds)
            case SendLater(backend=backend, at=at):
                return await self._wait_for_slot(backend, at)
            case NoSlot(wait_seconds=seconds):
                seconds = max(seconds, MIN_RETRY_AFTER_SECONDS)
                return Unavailable(
                    Cause.limited, min(seconds, MAX_RETRY_AFTER_SECONDS)
                )
        return Unavailable()

    async def _ask_first(
        self, backend: BackendState, seconds: float
    ) -> Unavailable | None:
        """Wait for a grant; what is held then is used by the next selection."""
        limits = self._context.limits
        rate = limits.get_rate(backend.server)
        if rate is None:
            return None
        now = read_boot_clock()
        if self._asks_until is None:
            self._asks_until = now + seconds
        is_held = await limits.grant_client.obtain(
            name_process(backend.server),
            rate,
            min(now + seconds, self._asks_until),
        )
        self._vain_asks += not is_held
        self._may_ask = self._vain_asks < MAX_VAIN_ASKS
        # What allowed the request to be sent may have changed meanwhile.
        barrier = self._find_barrier()
        return None if barrier is None else Unavailable(barrier)

    async def _wait_for_slot(
        self, backend: BackendState, at: float
    ) -> BackendState | Unavailable | None:
        limits = self._context.limits
        rate = limits.get_rate(backend.server)
        self._call.send_before = limits.take_slot(backend.server, at)
        await curio.sleep(max(at - time.monotonic(), 0))
        # What allowed the request to be sent may have changed meanwhile.
        barrier = self._find_barrier()
        if barrier is not None:
            return Unavailable(barrier)
        now = time.monotonic()
        is_late = now - at > MAX_SLOT_DELAY_SECONDS
        is_changed = limits.get_rate(backend.server) != rate
        if is_late or is_changed or not self._is_usable(backend, now):
            return None
        return backend

    def _is_usable(self, backend: BackendState, now: float) -> bool:
        if backend.is_gone or backend.server.is_draining:
            return False
        accepting = self._list_accepting([backend], now)
        return bool(_list_connectable(self._context, accepting))

    def _find_barrier(self) -> Cause | None:
        if not self._context.may_serve(self._call):
            return Cause.key_withdrawn
        if not self._context.suspects.may_send(self._call):
            return Cause.crashes_backends
        return None

    def _may_retry(self) -> bool:
        call = self._call
        kept = [one for one in call.attempts if one.outcome != DROPPED]
        if len(kept) >= MAX_ATTEMPTS:
            return False
        if not call.has_attempts_left():
            return False
        # A search that can find nothing must not use up retries.
        if self.passed_over is not None and not self.list_usable():
            return False
        if self._migrator.consume_reserved_retry() or self._is_paid:
            self._is_paid = False
            return True
        if not call.list_reached_backends():
            # No backend has received it yet.
            return True
        return self._context.retries.spend(call.service)

    def _make_unavailable(self, now: float) -> Unavailable:
        """Tell when to come back where no selectable backend takes requests.

        A request that may be sent to no other backend is served by others of
        the service as another request.
        """
        context = self._context
        backends = context.backends.list_preferred(self._call.service)
        seconds = context.declarations.find_resume_time(backends) - now
        if seconds <= 0:
            return Unavailable(Cause.refused, MIN_RETRY_AFTER_SECONDS)
        if math.isinf(seconds):
            zones = context.zones
            if any(zones.is_out(one.server.zone) for one in backends):
                return Unavailable(
                    Cause.zones_out,
                    context.random.uniform(
                        MIN_ZONES_OUT_SECONDS, MAX_ZONES_OUT_SECONDS
                    ),
                )
            # Others must register first.
            return Unavailable(Cause.no_backend)
        jitter = MAX_JITTER_SECONDS * context.random.random()
        return Unavailable(
            Cause.backoff, max(seconds + jitter, MIN_RETRY_AFTER_SECONDS)
        )

    def _list_accepting(
        self, backends: list[BackendState], now: float
    ) -> list[BackendState]:
        declarations = self._context.declarations
        if not declarations.has_any():
            return backends
        return declarations.list_accepting(backends, now)

    def _list_selectable(
        self, now: float
    ) -> tuple[list[BackendState], SelectionCriteria]:
        call = self._call
        excluded = call.list_tried_backends()
        selectable = self.groups.find_selectable()
        backends = self.groups.list_backends()
        if selectable is not None:
            # Only ranks that were tried may get it again.
            backends = [
                one
                for one in backends
                if self._in_group and one.server.id in selectable
            ]
            excluded = set()
        if self.passed_over is not None:
            backends = [
                one for one in backends if one.server.id not in self.passed_over
            ]
        zone = self._context.settings.zone
        return backends, SelectionCriteria(zone, excluded, now)


def _list_connectable(
    context: EntryContext, backends: list[BackendState]
) -> list[BackendState]:
    """List the backends of a service to which the entry may open a connection.

    Backends reset the connections that all entries open beyond a maximum.
    """
    if not backends:
        return backends
    share = context.compute_connection_share(backends[0].server.service)
    return [one for one in backends if one.in_flight < share]
