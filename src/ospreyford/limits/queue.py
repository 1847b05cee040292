"""Weighted fair queue of requests waiting for a backend."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.limits.settings import QueueSettings

#: Weight factor of each priority level; strict priority would allow starvation.
PRIORITY_FACTOR = 2.0
#: Weight of the newest interval in the mean service rate (EWMA).
RATE_SMOOTHING_FACTOR = 0.1
#: Flows kept before idle ones are evicted, in multiples of the queue's length.
MAX_FLOWS_PER_WAITER = 2


class Waiter(NamedTuple):
    """A request waiting in the queue.

    :param id: unique in this process.
    :param customer: name of the customer.
    :param cost: cost of the request, in tokens; above 0.
    :param deadline: seconds on the monotonic clock.
    :param priority: 0 and up; higher goes first.
    :param weight: the customer's weight; above 0.
    """

    id: int
    customer: str
    cost: float
    deadline: float
    priority: int = 1
    weight: float = 1


@dataclass(frozen=True)
class QueueFull:
    """The queue, or the customer's share of it, is full.

    :param length: the length limit that was reached.
    """

    length: int


@dataclass(frozen=True)
class WaitTooLong:
    """The expected wait exceeds the deadline or the maximum wait.

    :param seconds: expected wait.
    """

    seconds: float


@dataclass(frozen=True)
class Queued:
    """The request was queued.

    :param displaced: a waiter that was evicted for it and must be refused.
    """

    displaced: Waiter | None = None


@dataclass(frozen=True)
class NotQueued:
    """The request was not queued and not run.

    :param reason: why it was not queued.
    :param retry_after: seconds after which to retry.
    """

    reason: QueueFull | WaitTooLong
    retry_after: float


class _Flow:
    """Waiters of one customer and their virtual time tags."""

    def __init__(self) -> None:
        self.start_tag: float = 0
        self.finish_tag: float = 0
        self.queued_cost: float = 0
        self.waiters: dict[int, Waiter] = {}

    def get_first(self) -> Waiter:
        return max(
            self.waiters.values(),
            key=lambda waiter: (waiter.priority, -waiter.id),
        )

    def get_last(self) -> Waiter:
        return min(
            self.waiters.values(),
            key=lambda waiter: (waiter.priority, -waiter.id),
        )


class FairQueue:
    """Start-time fair queue (SFQ) by customer, bounded in length and wait.

    The weighted service of two backlogged customers differs by at most one
    request. Each waiter leaves exactly once: by :meth:`take`, :meth:`expire`,
    :meth:`cancel` or displacement.

    :param settings: bounds of the queue.
    """

    def __init__(self, settings: QueueSettings) -> None:
        self._settings = settings
        self._flows: dict[str, _Flow] = {}
        self._heap: list[tuple[float, str]] = []
        self._customer_by_id: dict[int, str] = {}
        self._expired: list[Waiter] = []
        self._virtual_time: float = 0
        self._service_rate: float = 0
        self._taken_at: float | None = None

    def __len__(self) -> int:
        """Count the waiters."""
        return len(self._customer_by_id)

    def offer(self, waiter: Waiter, now: float) -> Queued | NotQueued:
        """Queue a request or refuse it immediately.

        :param waiter: the request.
        :param now: seconds on the monotonic clock.
        :returns: the verdict.
        """
        flow = self._flows.setdefault(waiter.customer, _Flow())
        wait = self._estimate_wait(flow, waiter)
        if wait > min(self._settings.max_wait_seconds, waiter.deadline - now):
            return NotQueued(WaitTooLong(wait), wait)
        if len(flow.waiters) >= self._settings.customer_length:
            bound = self._settings.customer_length
            return NotQueued(QueueFull(bound), max(wait, 1))
        displaced = None
        if len(self) >= self._settings.length:
            displaced = self._displace(flow)
            if displaced is None:
                bound = self._settings.length
                return NotQueued(QueueFull(bound), max(wait, 1))
        self._add(flow, waiter, now)
        return Queued(displaced)

    def peek(self, now: float) -> Waiter | None:
        """Get the next request without removing it.

        :param now: seconds on the monotonic clock.
        :returns: the waiter, or ``None`` if there is none before its deadline.
        """
        while self._heap:
            start, customer = self._heap[0]
            flow = self._flows[customer]
            if flow.waiters and start == flow.start_tag:
                waiter = flow.get_first()
                if waiter.deadline > now:
                    return waiter
                self._expired.append(self._remove(flow, waiter))
            else:
                heapq.heappop(self._heap)
        return None

    def take(self, now: float) -> Waiter | None:
        """Remove the next request.

        :param now: seconds on the monotonic clock.
        :returns: the waiter, as from :meth:`peek`.
        """
        waiter = self.peek(now)
        if waiter is None:
            return None
        start, customer = heapq.heappop(self._heap)
        flow = self._flows[customer]
        self._remove(flow, waiter)
        self._virtual_time = start
        flow.finish_tag = start + waiter.cost / _compute_weight(waiter)
        flow.start_tag = flow.finish_tag
        self._push_flow(customer, flow)
        self._record_rate(waiter, now)
        return waiter

    def expire(self, now: float) -> list[Waiter]:
        """Remove all requests past their deadline.

        :param now: seconds on the monotonic clock.
        :returns: the removed waiters, to be refused.
        """
        expired = self._expired
        self._expired = []
        for flow in self._flows.values():
            overdue = [
                waiter
                for waiter in flow.waiters.values()
                if waiter.deadline <= now
            ]
            expired.extend(self._remove(flow, waiter) for waiter in overdue)
        self._evict_idle_flows()
        return expired

    def cancel(self, waiter_id: int) -> bool:
        """Remove a request whose caller disconnected.

        :param waiter_id: id of the waiter.
        :returns: whether it was waiting.
        """
        customer = self._customer_by_id.get(waiter_id)
        if customer is None:
            return False
        flow = self._flows[customer]
        self._remove(flow, flow.waiters[waiter_id])
        return True

    def _estimate_wait(self, flow: _Flow, waiter: Waiter) -> float:
        """Estimate the wait from the customer's fair share and the backlog."""
        if not self._service_rate:
            return 0
        backlogged = [other for other in self._flows.values() if other.waiters]
        queued_cost = sum(other.queued_cost for other in backlogged)
        competitors = len(backlogged)
        if not flow.waiters:
            competitors += 1
        fair_share_cost = (flow.queued_cost + waiter.cost) * competitors
        return min(queued_cost, fair_share_cost) / self._service_rate

    def _displace(self, flow: _Flow) -> Waiter | None:
        longest = max(
            self._flows.values(), key=lambda other: len(other.waiters)
        )
        if len(longest.waiters) <= len(flow.waiters) + 1:
            return None
        return self._remove(longest, longest.get_last())

    def _add(self, flow: _Flow, waiter: Waiter, now: float) -> None:
        max_deadline = now + self._settings.max_wait_seconds
        bounded = waiter._replace(deadline=min(waiter.deadline, max_deadline))
        was_idle = not flow.waiters
        flow.waiters[waiter.id] = bounded
        flow.queued_cost += waiter.cost
        self._customer_by_id[waiter.id] = waiter.customer
        if was_idle:
            # Idle flows neither accumulate credit nor shed earlier service.
            flow.start_tag = max(self._virtual_time, flow.finish_tag)
            self._push_flow(waiter.customer, flow)

    def _remove(self, flow: _Flow, waiter: Waiter) -> Waiter:
        flow.waiters.pop(waiter.id)
        flow.queued_cost -= waiter.cost
        self._customer_by_id.pop(waiter.id)
        return waiter

    def _push_flow(self, customer: str, flow: _Flow) -> None:
        if flow.waiters:
            heapq.heappush(self._heap, (flow.start_tag, customer))

    def _record_rate(self, waiter: Waiter, now: float) -> None:
        if self._taken_at is not None and now > self._taken_at:
            rate = waiter.cost / (now - self._taken_at)
            self._service_rate += RATE_SMOOTHING_FACTOR * (
                rate - self._service_rate
            )
        self._taken_at = now

    def _evict_idle_flows(self) -> None:
        if len(self._flows) <= MAX_FLOWS_PER_WAITER * self._settings.length:
            return
        self._flows = {
            customer: flow
            for customer, flow in self._flows.items()
            if flow.waiters or flow.finish_tag > self._virtual_time
        }


def _compute_weight(waiter: Waiter) -> float:
    return waiter.weight * PRIORITY_FACTOR**waiter.priority
