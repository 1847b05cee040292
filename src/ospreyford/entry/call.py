"""Admitted calls and what the published documents allow them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from ospreyford.documents.intents import ZonePreference

if TYPE_CHECKING:
    from opentelemetry.trace import SpanContext

    from ospreyford.entry.homes import Home
    from ospreyford.entry.outcome import NotRun
    from ospreyford.http.message import Headers
    from ospreyford.limits.limit import Limit
    from ospreyford.ports.fleet import Host
    from ospreyford.routing.budget import Allowance
    from ospreyford.routing.query import Priority


class Call(NamedTuple):
    """An admitted call.

    ``deadline`` is in monotonic seconds; ``dated`` is the Unix time of
    ``key`` in milliseconds; ``key`` is the idempotency key or empty;
    ``estimated_tokens`` covers prompt and response.
    """

    request_id: str
    customer: str
    service: str
    deadline: float
    idempotent: bool
    key: str
    dated: int
    method: str
    target: str
    headers: Headers
    body: bytes
    prefix_hash: bytes | None
    estimated_tokens: int
    trace: SpanContext | None
    attempted_backends: list[str]


class RetryPolicy(NamedTuple):
    """Retries and hedges that a routing intent allows.

    ``hedge_after`` is in seconds, ``None`` to disable hedging. Without an
    ``allowance`` only the entry's own budgets apply.
    """

    retries: int = 1
    hedge_after: float | None = None
    allowance: Allowance | None = None


class Plan(NamedTuple):
    """Resolved documents for a customer's calls to a service.

    ``pools`` holds the hosts of each capacity pool in order of preference.
    ``engine_priority`` is passed to the engine, 9 being the most urgent.
    ``homes`` are the backend servers that hold idempotency keys.
    """

    pools: tuple[tuple[Host, ...], ...]
    limit: Limit
    priority: Priority
    engine_priority: int
    version: str | None
    adapter: str | None
    homes: tuple[Home, ...]
    caches_prefixes: bool
    retry_policy: RetryPolicy = RetryPolicy()
    zone_preference: ZonePreference = ZonePreference.same_zone


class Directory(Protocol):
    """Published documents and host list."""

    def find_plan(self, customer: str, service: str) -> Plan | NotRun:
        """Find the plan of a customer's calls to a service.

        :param customer: the customer's id.
        :param service: the service's name.
        :returns: the plan, or the refusal.
        """

    def is_idempotent(self, service: str, method: str, target: str) -> bool:
        """Tell whether a call may run more than once.

        :param service: the service's name.
        :param method: HTTP method.
        :param target: HTTP target.
        :returns: whether the service's document declares it idempotent.
        """

    def find_host(self, name: str) -> Host | None:
        """Find the host of a backend server.

        :param name: name of the backend server.
        :returns: the host, or ``None`` if it is not in the host list.
        """
