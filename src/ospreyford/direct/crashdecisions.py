"""Log events about requests that crash backends."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class BackendCrashed:
    """A backend went down as a request had just begun on it.

    :param backend: id of the backend.
    :param service: name of the service.
    :param request_id: the caller's request id.
    :param identity: identity of the request, as hexadecimal digits.
    :param crashes: crashes that the request is suspected of.
    """

    backend: str
    service: str
    request_id: str
    identity: str
    crashes: int


@dataclass(frozen=True)
class RequestBlocked:
    """A request is no longer sent, as it crashes the backends that run it.

    :param identity: identity of the request, as hexadecimal digits.
    :param customer: name of its customer.
    :param path: beginning of its path.
    :param crashes: crashes that it is suspected of.
    :param reason: ``crashes`` if seen here, ``told`` if by another process.
    """

    identity: str
    customer: str
    path: str
    crashes: int
    reason: str


@dataclass(frozen=True)
class RequestCleared:
    """A request is no longer suspected of crashes.

    :param identity: identity of the request, as hexadecimal digits.
    :param reason: ``answered`` by a backend, or ``lifted`` by an operator.
    """

    identity: str
    reason: str


CrashDecision = BackendCrashed | RequestBlocked | RequestCleared
