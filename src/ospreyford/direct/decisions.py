"""Log events of an entry: one type and one log line each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class RequestEnded:
    """A request was answered or its caller disconnected.

    :param request_id: the caller's request id.
    :param customer: owner of the key.
    :param route: name of the route.
    :param service: the selected service.
    :param version: version of the catalog.
    :param age_ms: age of the catalog when the request was read.
    :param attempts: backend, time in milliseconds, outcome and its details of
        each attempt.
    :param verdict: type of the outcome.
    :param detail: its fields.
    :param given_ms: timeout set by the caller or the route.
    :param took_ms: time from reading the request to the end of the response.
    :param waited_ms: part of it spent in the admission queue.
    :param first_event_ms: time to a stream's first event, or -1.
    :param longest_gap_ms: longest gap between two events.
    :param gate: inputs of the admission decision, for streams.
    :param connection: request number on its connection, age and idle time of
        the connection, and time since the entry began to stop.
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
    """A stream was migrated away from a slow backend.

    :param request_id: the caller's request id.
    :param backend: the slow backend.
    :param pace: slowdown of that backend relative to its usual time.
    :param pace_age_ms: age of the report.
    :param event: id of the last event that the caller received.
    """

    request_id: str
    backend: str
    pace: float
    pace_age_ms: int
    event: int | None


@dataclass(frozen=True)
class RequestDenied:
    """A request was answered without being sent to a backend.

    :param request_id: the caller's request id.
    :param asked_host: the requested host name.
    :param path: its path.
    :param cause: the reason.
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

    :param version: version of the catalog.
    :param revision: revision of the store.
    :param routes: number of routes.
    """

    version: int
    revision: int
    routes: int


@dataclass(frozen=True)
class CatalogRefused:
    """A published catalog is invalid; the last valid one stays in force.

    :param revision: revision of the store.
    :param reason: the validation error.
    """

    revision: int
    reason: str


@dataclass(frozen=True)
class RegistrationRefused:
    """A backend's registration is invalid.

    :param backend: id of the backend.
    :param reason: the validation error.
    :param revision: revision of the refused change in the store.
    """

    backend: str
    reason: str
    revision: int


@dataclass(frozen=True)
class BackendChanged:
    """A backend registered, is draining or was removed.

    :param backend: id of the backend.
    :param service: name of the service.
    :param change: ``ready``, ``draining``, ``missing`` or ``gone``; ``kept`` or
        ``kept gone`` if an older copy shows an earlier state.
    :param revision: revision of the store.
    """

    backend: str
    service: str
    change: str
    revision: int


@dataclass(frozen=True)
class StoreLost:
    """The platform's store does not answer.

    :param reason: the error.
    :param age_ms: age of the last confirmed state.
    """

    reason: str
    age_ms: int


@dataclass(frozen=True)
class StoreRegained:
    """The platform's store answers again.

    :param revision: revision of the store.
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
