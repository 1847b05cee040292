"""Selection of a backend where some take only a limited rate of requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ospreyford.direct.selection import has_failed_recently, select_backend

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from ospreyford.direct.backendlimits import BackendLimits
    from ospreyford.direct.registry import BackendState
    from ospreyford.direct.selection import SelectionCriteria

#: Longest time that a request waits for a slot.
MAX_WAIT_SECONDS = 1.0
#: The same, as a fraction of the request's remaining time.
MAX_WAIT_FRACTION = 0.25


@dataclass(frozen=True)
class SendNow:
    """The request may be sent.

    :param backend: the backend that gets it.
    """

    backend: BackendState


@dataclass(frozen=True)
class SendLater:
    """The request may be sent after a short wait.

    :param backend: the backend that gets it.
    :param at: when it may be sent, in seconds on the monotonic clock.
    """

    backend: BackendState
    at: float


@dataclass(frozen=True)
class NoSlot:
    """No backend takes the request in time.

    :param wait_seconds: time until a backend takes one.
    """

    wait_seconds: float


Selection = SendNow | SendLater | NoSlot


class SlotSelector:
    """Selects backends within the rates that they declare.

    A request goes to a backend that takes it at once, or waits a moment for
    one. Where all backends are limited, more requests than they take together
    are rejected at once: waiting longer would only move the excess.

    :param limits: the declared rates.
    :param random: source of the samples of backends.
    """

    def __init__(self, limits: BackendLimits, random: Random) -> None:
        self._limits = limits
        self._random = random

    def select(
        self,
        backends: Sequence[BackendState],
        criteria: SelectionCriteria,
        remaining: float,
    ) -> Selection | None:
        """Select the backend of a request and when it may be sent.

        :param backends: backends that accept new requests.
        :param criteria: the request's criteria.
        :param remaining: seconds until the request's deadline.
        :returns: the selection, or ``None`` if there is no backend.
        """
        if not self._limits.has_any():
            backend = select_backend(backends, criteria, self._random)
            return None if backend is None else SendNow(backend)
        selection: Selection | None = None
        untried = [
            one for one in backends if one.server.id not in criteria.excluded
        ]
        for candidates in (untried, backends):
            selection = self._select_among(candidates, criteria, remaining)
            if isinstance(selection, SendNow | SendLater):
                break
        return selection

    def _select_among(
        self,
        backends: Sequence[BackendState],
        criteria: SelectionCriteria,
        remaining: float,
    ) -> Selection | None:
        if not backends:
            return None
        now = criteria.now
        slots = {
            one.server.id: self._limits.find_slot(one.server, now)
            for one in backends
        }
        ready = [one for one in backends if slots[one.server.id] <= now]
        overdue = [one for one in ready if self._is_overdue(one, now)]
        backend = select_backend(overdue or ready, criteria, self._random)
        if backend is not None:
            return SendNow(backend)
        backend = min(backends, key=lambda one: slots[one.server.id])
        slot = slots[backend.server.id]
        max_wait = min(MAX_WAIT_SECONDS, MAX_WAIT_FRACTION * remaining)
        if slot - now > max_wait:
            return NoSlot(slot - now)
        return SendLater(backend, slot)

    def _is_overdue(self, backend: BackendState, now: float) -> bool:
        # One that gives no responses would be asked in vain in every slot.
        is_overdue = self._limits.is_overdue(backend, now)
        return is_overdue and not has_failed_recently(backend, now)
