"""Log events about when backends take requests, as they declare it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class BackendBackoff:
    """A backend refused a request and asked for a time without requests.

    :param backend: id of the backend.
    :param service: name of the service.
    :param seconds: for how long, from the response on.
    """

    backend: str
    service: str
    seconds: float


@dataclass(frozen=True)
class BackendLeaving:
    """A backend declared that it is leaving.

    :param backend: id of the backend.
    :param service: name of the service.
    """

    backend: str
    service: str


@dataclass(frozen=True)
class BackoffUnreadable:
    """A backend asked for a time that is not a decimal number.

    What it asked for before stays in force.

    :param backend: id of the backend.
    :param service: name of the service.
    :param text: beginning of the value.
    """

    backend: str
    service: str
    text: str


DeclarationDecision = BackendBackoff | BackendLeaving | BackoffUnreadable
