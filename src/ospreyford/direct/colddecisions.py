"""Log events about cold backends."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class BackendCold:
    """A backend is cold: it takes few requests from all entries.

    :param backend: id of the backend.
    :param service: name of the service.
    :param sign: what told so: ``registration``, ``start`` (the time since its
        start) or ``response``.
    :param rate: requests per second.
    :param seconds: time for which it stays cold.
    """

    backend: str
    service: str
    sign: str
    rate: float
    seconds: float


@dataclass(frozen=True)
class BackendWarm:
    """A backend is no longer cold.

    :param backend: id of the backend.
    :param service: name of the service.
    """

    backend: str
    service: str


@dataclass(frozen=True)
class ColdUnknown:
    """Backends may have become cold without this entry's notice.

    Those of services with a rate for cold backends count as cold until the
    state of the store is known again.

    :param age_ms: age of the view of the store, in milliseconds; -1 if there is
        none.
    """

    age_ms: int


@dataclass(frozen=True)
class ColdKnown:
    """It is known again which backends are cold."""


@dataclass(frozen=True)
class ColdUnreadable:
    """A published or registered number about cold backends is unreadable.

    The service or backend is used as if it were missing.

    :param subject: id of the backend or name of the service.
    :param reason: what is wrong.
    """

    subject: str
    reason: str


ColdDecision = (
    BackendCold | BackendWarm | ColdUnknown | ColdKnown | ColdUnreadable
)
