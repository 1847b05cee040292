"""Published configuration: routes, services, customers and limits."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ospreyford.http.message import Limits


class RetryMode(Enum):
    """Whether a request may run more than once.

    ``once``: at most once. ``idempotent``: any number of times. ``resumable``:
    a stream that another run may continue after an event.
    """

    once = 'once'
    idempotent = 'idempotent'
    resumable = 'resumable'


class Split(NamedTuple):
    """A service's share of a route.

    :param service: name of the service.
    :param weight: its weight, relative to the other shares.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """One published route.

    :param name: the route's name.
    :param prefix: path prefix; begins and ends with a slash.
    :param splits: services among which its requests are split.
    :param retry_mode: whether its requests may run more than once.
    :param streams: whether responses are event streams.
    :param timeout: longest time until the final answer, in seconds.
    :param objective: latency objective, in seconds.
    :param max_gap: maximum gap between two events of a stream, in seconds; 0 if
        none is published.
    :param attempts: maximum number of backends that may run one request.
    :param priority: 0 is the most urgent.
    :param public: whether requests need no key.
    """

    name: str
    prefix: str
    splits: tuple[Split, ...]
    retry_mode: RetryMode
    streams: bool
    timeout: float
    objective: float
    max_gap: float
    attempts: int
    priority: int
    public: bool


class Engine(NamedTuple):
    """Published parameters of a model service's engine and rank group.

    :param slots: requests that a rank runs concurrently.
    :param sets: number of layer sets, each with its own experts.
    :param experts: experts per set.
    :param places: maximum number of experts of a set on a rank
    :param spare: experts of a set that one change may add to a rank.
    :param copy_seconds: time to copy one expert to a rank.
    :param pass_seconds: time of a pass without requests.
    """

    slots: int
    sets: int
    experts: int
    places: int
    spare: int
    copy_seconds: float
    pass_seconds: float


class Service(NamedTuple):
    """One published service.

    :param name: the service's name.
    :param max_connections: connections that one backend accepts from all
        callers together.
    :param engine: engine parameters, for model services.
    :param cold_seconds: time for which a backend is cold after its start.
    :param cold_rate: requests per second that a cold backend takes from all
        entries together; ``None`` if it takes as many as a warm one.
    :param problems: what in the published service could not be read.
    """

    name: str
    max_connections: int
    engine: Engine | None
    cold_seconds: float = 0
    cold_rate: float | None = None
    problems: tuple[str, ...] = ()


class Customer(NamedTuple):
    """Owner of a key.

    :param name: the customer's name.
    :param priority: overrides the route's priority, if set.
    """

    name: str
    priority: int | None


class Catalog(NamedTuple):
    """One version of the published configuration.

    :param version: incremented by each change.
    :param routes: by host name, longest prefix first.
    :param services: by name.
    :param customers: by key; ``None`` if requests carry no keys.
    :param limits: limits of callers' connections.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    customers: Mapping[str, Customer] | None
    limits: Limits


def find_route(catalog: Catalog, host: str, path: str) -> Route | None:
    """Find the route with the longest prefix of a path.

    :param catalog: the current version.
    :param host: the request's host name, without a port.
    :param path: the request's path, without the query.
    :returns: the route, or ``None``.
    """
    for route in catalog.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None
