"""A caller's request after admission."""

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
    """What a caller asked for.

    ``servers`` collects the names of the backend servers that it was sent to.

    ``deadline`` is in monotonic seconds, ``dated`` the Unix time in
    milliseconds that ``key`` carries. ``key`` is the caller's idempotency
    key, or empty. ``tokens`` estimates prompt and answer together.
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
    """Attempts besides the first that a routing intent allows a request.

    ``hedge_after`` is in seconds, ``None`` for never. ``allowance`` is the
    intent's budget; without one the entry's own budgets count.
    """

    retries: int = 1
    hedge_after: float | None = None
    allowance: Allowance | None = None


class Plan(NamedTuple):
    """What the published documents say of a customer's calls to a service.

    ``pools`` holds the hosts of each capacity pool, the preferred pool
    first. ``engine_priority`` is handed to the engine, 9 being the most
    urgent. ``caches_prefixes`` tells whether the service's engines keep
    prompt prefixes. ``homes`` are the backend servers that hold idempotency
    keys. ``extras`` bounds attempts besides the first.
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
    """The published documents and the host list, as admission sees them."""

    def find_plan(self, customer: str, service: str) -> Plan | NotRun:
        """Find out what a customer's call to a service may use.

        :param customer: the customer's id.
        :param service: the service's name.
        :returns: the plan, or why there is none.
        """

    def is_idempotent(self, service: str, method: str, target: str) -> bool:
        """Tell whether a call may run more than once.

        :param service: the service's name.
        :param method: HTTP method.
        :param target: HTTP target.
        :returns: whether the service's document calls it idempotent.
        """

    def find_host(self, name: str) -> Host | None:
        """Find a backend server's host.

        :param name: the backend server's name.
        :returns: the host, or ``None`` if the host list has none.
        """
