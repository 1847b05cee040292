"""Log events about the request rates that backends declare."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class BackendLimited:
    """A backend declared how many requests it takes from all entries.

    :param backend: id of the backend.
    :param service: name of the service.
    :param rate: requests per second.
    """

    backend: str
    service: str
    rate: float


@dataclass(frozen=True)
class BackendUnlimited:
    """A backend no longer declares a limit.

    :param backend: id of the backend.
    :param service: name of the service.
    """

    backend: str
    service: str


@dataclass(frozen=True)
class LimitUnreadable:
    """A backend declared a limit that is not a decimal number.

    The limit that was known before stays in force.

    :param backend: id of the backend.
    :param service: name of the service.
    :param text: beginning of the declared value.
    """

    backend: str
    service: str
    text: str


LimitDecision = BackendLimited | BackendUnlimited | LimitUnreadable
