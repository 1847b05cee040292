"""What one entry asks agents for, and the sendings that it holds.

Load pattern: callers of one entry arrive at any time at backends that take a
limited rate from all entries. Each waiting caller is asked for once, in one
request for all of a backend, and what is granted lapses soon.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from itertools import repeat
from typing import TYPE_CHECKING, Final, NamedTuple

from ospreyford.sendgrants.arbiters import ArbiterTable
from ospreyford.sendgrants.bounds import (
    GRANT_FRACTIONS,
    GRANT_SECONDS,
    MIN_RATE,
)
from ospreyford.sendgrants.messages import (
    MAX_SENDINGS,
    SendingGrant,
    SendingRequest,
)

if TYPE_CHECKING:
    from ospreyford.rebalance.entrymessages import Address

#: Time until an agent's reply counts as lost.
REPLY_SECONDS: Final = 0.12
MS_PER_SECOND = 1000


class Question(NamedTuple):
    """A request to send to an agent.

    :param agent: the agent's address.
    :param message: the request.
    """

    agent: Address
    message: SendingRequest


class _Pending(NamedTuple):
    question: Question
    asked_at: float


@dataclass
class _Account:
    """Grants and requests of one backend.

    :param held: when each held sending lapses.
    :param waiting: callers that wait for one.
    :param pending: the request that was not answered yet.
    :param next_at: when to ask again.
    :param used_at: when the account was used last.
    """

    held: deque[float] = field(default_factory=deque)
    waiting: int = 0
    pending: _Pending | None = None
    next_at: float = -math.inf
    used_at: float = 0


class GrantBook:
    """Sendings that an entry holds and asks for.

    All times are seconds on the boot clock, which runs while a process is
    frozen and its host suspended.
    """

    def __init__(self) -> None:
        self.arbiters = ArbiterTable()
        #: Whether agents exist, as far as is known.
        self.has_agents = False
        self.asked_count = 0
        self.granted_count = 0
        self.lapsed_count = 0
        self._accounts: dict[str, _Account] = {}
        #: Backends by the number of the pending request.
        self._pending: dict[int, str] = {}

    def can_ask(self) -> bool:
        """Check whether there is an agent to ask.

        :returns: whether one is known.
        """
        return self.has_agents and self.arbiters.has_any()

    def count_waiting(self, backend: str) -> int:
        """Count the callers that wait for a sending.

        :param backend: name of the backend's process.
        :returns: their number.
        """
        account = self._accounts.get(backend)
        return 0 if account is None else account.waiting

    def has_queue_room(
        self, backend: str, rate: float, seconds: float, now: float
    ) -> bool:
        """Check whether another caller may be served if it waits.

        :param backend: name of the backend's process.
        :param rate: requests per second that it takes from all entries.
        :param seconds: how long the caller can wait.
        :param now: seconds on the boot clock.
        :returns: whether the agent may grant that many in this time.
        """
        account = self._accounts.get(backend)
        if account is not None and account.next_at > now + seconds:
            # The agent has told that it grants nothing until then.
            return False
        granted = GRANT_FRACTIONS[0] * max(rate, MIN_RATE) * seconds
        return self.count_waiting(backend) < max(granted, 1)

    def join(self, backend: str, change: int) -> None:
        """Change the number of callers that wait.

        :param backend: name of the backend's process.
        :param change: 1 if a caller begins to wait, -1 if it no longer does.
        """
        account = self._accounts.setdefault(backend, _Account())
        account.waiting = max(account.waiting + change, 0)

    def holds(self, backend: str, now: float) -> bool:
        """Check whether a sending is held.

        :param backend: name of the backend's process.
        :param now: seconds on the boot clock.
        :returns: whether one may be used now.
        """
        account = self._accounts.get(backend)
        return account is not None and self._count_held(account, now) > 0

    def take(self, backend: str, now: float) -> float | None:
        """Use a sending.

        :param backend: name of the backend's process.
        :param now: seconds on the boot clock.
        :returns: when it lapses; ``None`` if none is held.
        """
        account = self._accounts.get(backend)
        if account is None or not self._count_held(account, now):
            return None
        return account.held.popleft()

    def find_next(self, backend: str, now: float) -> float:
        """Find when something may change for a caller that waits.

        :param backend: name of the backend's process.
        :param now: seconds on the boot clock.
        :returns: the time at which to ask, or at which a reply is overdue.
        """
        account = self._accounts.get(backend)
        if account is None:
            return now
        if account.pending is not None:
            return account.pending.asked_at + REPLY_SECONDS
        return max(account.next_at, now)

    def ask(self, backend: str, rate: float, now: float) -> Question | None:
        """Ask for the sendings that callers wait for, if it is time.

        :param backend: name of the backend's process.
        :param rate: requests per second that it takes from all entries.
        :param now: seconds on the boot clock.
        :returns: the request to send, or ``None``.
        """
        account = self._accounts.setdefault(backend, _Account())
        account.used_at = now
        self._expire(account, now)
        count = min(
            account.waiting - self._count_held(account, now), MAX_SENDINGS
        )
        is_due = account.pending is None and now >= account.next_at
        if count <= 0 or not is_due:
            return None
        arbiter = self.arbiters.find(backend, now)
        if arbiter is None:
            return None
        self.asked_count += 1
        question = Question(
            arbiter.address,
            SendingRequest(
                self.asked_count, backend, rate, count, arbiter.rank
            ),
        )
        account.pending = _Pending(question, now)
        self._pending[self.asked_count] = backend
        return question

    def record_grant(
        self, grant: SendingGrant, agent: Address, now: float
    ) -> str | None:
        """Record an agent's reply.

        :param grant: the reply.
        :param agent: the agent that sent it.
        :param now: seconds on the boot clock.
        :returns: name of the backend's process; ``None`` if the reply is late,
            repeated, or of another agent.
        """
        backend = self._pending.get(grant.number)
        account = self._accounts.get(backend) if backend else None
        if account is None or account.pending is None:
            return None
        question, asked_at = account.pending
        if question.agent != agent:
            return None
        self._pending.pop(grant.number)
        account.pending = None
        self.arbiters.record_reply(agent)
        account.next_at = now + max(grant.wait_ms, 0) / MS_PER_SECOND
        # No agent grants more than it was asked for.
        count = max(min(grant.count, question.message.count), 0)
        self.granted_count += count
        account.held.extend(repeat(asked_at + GRANT_SECONDS, count))
        return backend

    def forget_idle(self, now: float, idle_seconds: float) -> None:
        """Forget the backends to which nothing was sent for long.

        :param now: seconds on the boot clock.
        :param idle_seconds: the shortest time without use.
        """
        for backend, account in list(self._accounts.items()):
            self._expire(account, now)
            is_idle = now - account.used_at > idle_seconds
            if is_idle and not account.waiting and account.pending is None:
                self._accounts.pop(backend)
                self.arbiters.forget_backend(backend)

    def _expire(self, account: _Account, now: float) -> None:
        pending = account.pending
        if pending is None or now - pending.asked_at < REPLY_SECONDS:
            return
        account.pending = None
        self._pending.pop(pending.question.message.number)
        self.arbiters.record_loss(pending.question.agent, now)

    def _count_held(self, account: _Account, now: float) -> int:
        while account.held and account.held[0] < now:
            account.held.popleft()
            self.lapsed_count += 1
        return len(account.held)
