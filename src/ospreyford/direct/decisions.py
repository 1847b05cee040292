"""Decisions and changes that an entry logs: one type each, one line each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class RequestEnded:
    """A request got its final answer, or its caller left.

    :param request_id: the caller's id of it.
    :param customer: whose key it carried.
    :param route: the route's name.
    :param service: the service that was drawn.
    :param version: the catalog's version.
    :param age_ms: age of the catalog when the request was read.
    :param attempts: back end, moment and outcome of each sending.
    :param verdict: type of the outcome.
    :param detail: its fields.
    :param given_ms: time that its caller or its route gave it.
    :param took_ms: from the request's end to its answer's.
    :param waited_ms: of these, in the queue.
    :param first_event_ms: until a stream's first event, or -1.
    :param longest_gap_ms: between two of its events.
    :param gate: what its admission or refusal rested on, for streams.
    :param connection: how it came: which request of its connection, the
        connection's age and rest before it, and for how long the entry had been
        stopping by then.
    """

    request_id: str
    customer: str
    route: str
    service: str
    version: int
    age_ms: int
    attempts: list[str]
    verdict: str
    detail: dict[str, Any]
    given_ms: int
    took_ms: int
    waited_ms: int
    first_event_ms: int
    longest_gap_ms: int
    gate: dict[str, Any]
    connection: dict[str, int]


@dataclass(frozen=True)
class StreamMoved:
    """A stream left a slow back end and goes on at another one.

    :param request_id: the caller's id of it.
    :param backend: the one that it left.
    :param pace: how many times its usual time that one takes.
    :param pace_age_ms: how long ago that was told.
    :param event: id of the last event that the caller has.
    """

    request_id: str
    backend: str
    pace: float
    pace_age_ms: int
    event: int | None


@dataclass(frozen=True)
class RequestDenied:
    """A request was answered without being sent to a back end.

    :param request_id: the caller's id of it.
    :param asked_host: the host name that it was for.
    :param path: its path.
    :param cause: why.
    :param status: the HTTP status.
    :param version: the catalog's version, or -1.
    :param age_ms: the catalog's age, or -1.
    """

    request_id: str
    asked_host: str
    path: str
    cause: str
    status: int
    version: int
    age_ms: int


@dataclass(frozen=True)
class CatalogInForce:
    """A newer catalog took effect.

    :param version: the operators' version.
    :param revision: of the store.
    :param routes: number of routes.
    """

    version: int
    revision: int
    routes: int


@dataclass(frozen=True)
class CatalogRefused:
    """A published catalog cannot be used; the last good one stays.

    :param revision: of the store.
    :param reason: what is wrong with it.
    """

    revision: int
    reason: str


@dataclass(frozen=True)
class RegistrationRefused:
    """A back end's registration cannot be used.

    :param backend: its id.
    :param reason: what is wrong with it.
    :param revision: of the store, that of the change refused.
    """

    backend: str
    reason: str
    revision: int


@dataclass(frozen=True)
class BackendChanged:
    """A back end registered, drains or is gone.

    :param backend: its id.
    :param service: its service.
    :param change: ``ready``, ``draining``, ``missing`` or ``gone``.
    :param revision: of the store.
    """

    backend: str
    service: str
    change: str
    revision: int


@dataclass(frozen=True)
class StoreLost:
    """The platform's store does not answer.

    :param reason: what was seen.
    :param age_ms: age of the picture.
    """

    reason: str
    age_ms: int


@dataclass(frozen=True)
class StoreRegained:
    """The platform's store answers again.

    :param revision: of the store.
    """

    revision: int


Decision = (
    RequestEnded
    | StreamMoved
    | RequestDenied
    | CatalogInForce
    | CatalogRefused
    | RegistrationRefused
    | BackendChanged
    | StoreLost
    | StoreRegained
)
