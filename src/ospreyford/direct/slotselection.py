"""Selection of a backend where some take only a limited rate of requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ospreyford.direct.backendlimits import name_process
from ospreyford.direct.freshness import read_boot_clock
from ospreyford.direct.selection import has_failed_recently, select_backend
from ospreyford.sendgrants.book import REPLY_SECONDS

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


@dataclass(frozen=True)
class AskFirst:
    """A sending to a limited backend is to be asked for.

    :param backend: the backend.
    :param seconds: the longest wait for it.
    """

    backend: BackendState
    seconds: float


Selection = SendNow | SendLater | NoSlot | AskFirst


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
        *,
        may_ask: bool = False,
    ) -> Selection | None:
        """Select the backend of a request and when it may be sent.

        :param backends: backends that accept new requests.
        :param criteria: the request's criteria.
        :param remaining: seconds until the request's deadline.
        :param may_ask: whether an agent may be asked first.
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
            selection = None
            if may_ask:
                selection = self._find_question(candidates, criteria, remaining)
            if selection is None:
                selection = self._select_among(candidates, criteria, remaining)
            if isinstance(selection, SendNow | SendLater | AskFirst):
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
        if slot - now > compute_max_wait(remaining):
            return NoSlot(slot - now)
        return SendLater(backend, slot)

    def _find_question(
        self,
        backends: Sequence[BackendState],
        criteria: SelectionCriteria,
        remaining: float,
    ) -> AskFirst | None:
        """Find the backend for which an agent is to be asked, if any.

        Backends that take a request at once are preferred while they have room.
        """
        if not self._limits.grants.can_ask():
            return None
        now = criteria.now
        closed = [
            one
            for one in backends
            if self._limits.find_slot(one.server, now) > now
        ]
        overdue = [
            one
            for one in closed
            if self._is_overdue(one, now) and not self._count_waiting(one)
        ]
        if overdue:
            backend = select_backend(overdue, criteria, self._random)
            return _ask_for(backend, REPLY_SECONDS)
        has_room = any(
            one.count_load() < one.server.slots
            for one in backends
            if one not in closed
        )
        if has_room:
            return None
        seconds = compute_max_wait(remaining)
        if len(closed) < len(backends):
            seconds = min(seconds, REPLY_SECONDS)
        open_ones = [one for one in closed if self._has_room(one, seconds)]
        return _ask_for(self._select_shortest(open_ones), seconds)

    def _select_shortest(
        self, backends: Sequence[BackendState]
    ) -> BackendState | None:
        return min(
            backends,
            key=lambda one: (
                self._count_waiting(one),
                one.count_load(),
                self._random.random(),
            ),
            default=None,
        )

    def _count_waiting(self, backend: BackendState) -> int:
        name = name_process(backend.server)
        return self._limits.grants.count_waiting(name)

    def _has_room(self, backend: BackendState, seconds: float) -> bool:
        rate = self._limits.get_rate(backend.server)
        return rate is not None and self._limits.grants.has_queue_room(
            name_process(backend.server), rate, seconds, read_boot_clock()
        )

    def _is_overdue(self, backend: BackendState, now: float) -> bool:
        # One that gives no responses would be asked in vain in every slot.
        is_overdue = self._limits.is_overdue(backend, now)
        return is_overdue and not has_failed_recently(backend, now)


def compute_max_wait(remaining: float) -> float:
    """Compute the longest time that a request waits for a slot.

    :param remaining: seconds until its deadline.
    :returns: seconds.
    """
    return min(MAX_WAIT_SECONDS, MAX_WAIT_FRACTION * remaining)


def _ask_for(backend: BackendState | None, seconds: float) -> AskFirst | None:
    return None if backend is None else AskFirst(backend, seconds)
