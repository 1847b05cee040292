"""What operators published: routes, services, customers and limits."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ospreyford.http.message import Limits


class RetryMode(Enum):
    """How often one request may run.

    ``once``: at most once. ``idempotent``: any number of times.
    ``resumable``: a stream that a second run may continue after an event.
    """

    once = 'once'
    idempotent = 'idempotent'
    resumable = 'resumable'


class Split(NamedTuple):
    """A service's part of a route.

    :param service: name of the service.
    :param weight: its share, relative to the other parts.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """One published route.

    :param name: the route's name.
    :param prefix: paths that it takes; begins and ends with a slash.
    :param splits: the services that share its requests.
    :param repetition: what may be repeated.
    :param streams: whether answers are event streams.
    :param timeout: longest time until the final answer, in seconds.
    :param objective: latency that callers hope for, in seconds.
    :param max_gap: longest pause between two events of a stream that callers
        bear, in seconds; 0 if none is published.
    :param attempts: back ends that one request may reach at most.
    :param priority: 0 is the most urgent.
    :param public: whether a request needs no key.
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
    """Published figures of a model service's engine and rank group.

    :param slots: requests that a rank runs at once.
    :param sets: sets of layers, each with experts of its own.
    :param experts: experts of a set.
    :param places: experts of a set that a rank holds at most.
    :param spare: experts of a set that one change may add to a rank.
    :param copy_seconds: time to copy one expert to a rank.
    :param pass_seconds: time of a pass without any request.
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
    :param max_connections: connections that one back end takes, of all
        callers together.
    :param engine: figures of its engine, for model services.
    """

    name: str
    max_connections: int
    engine: Engine | None


class Customer(NamedTuple):
    """Whose key a request carries.

    :param name: the customer's name.
    :param priority: goes before the route's priority, if given.
    """

    name: str
    priority: int | None


class Catalog(NamedTuple):
    """One version of all that operators published.

    :param version: grows with each change.
    :param routes: by host name, longest prefix first.
    :param services: by name.
    :param customers: by key; ``None`` if requests carry no keys.
    :param limits: what callers' connections may cost.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    customers: Mapping[str, Customer] | None
    limits: Limits


def find_route(catalog: Catalog, host: str, path: str) -> Route | None:
    """Find the route with the longest prefix of a path.

    :param catalog: the version in force.
    :param host: the request's host name, without a port.
    :param path: the request's path, without its query.
    :returns: the route, or ``None``.
    """
    for route in catalog.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None
