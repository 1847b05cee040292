"""Why a process takes no work."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class NoConfiguration:
    """No configuration was read since the start."""


@dataclass(frozen=True)
class ConfigurationUnconfirmed:
    """What is in force may be older than what others have in force.

    :param revision: the revision held here.
    """

    revision: int


@dataclass(frozen=True)
class NoBackend:
    """No back end of a declared service can be reached.

    :param service: the service.
    """

    service: str


@dataclass(frozen=True)
class BackendUnreachable:
    """The backend server beside this agent does not answer.

    :param address: its address.
    """

    address: str


@dataclass(frozen=True)
class LeavingHost:
    """A drain is under way here.

    :param cause: what asked for it.
    """

    cause: str


@dataclass(frozen=True)
class RecordFull:
    """The execution record has no room for new non-idempotent work.

    :param records: requests held.
    """

    records: int


Unready = (
    NoConfiguration
    | ConfigurationUnconfirmed
    | NoBackend
    | BackendUnreachable
    | LeavingHost
    | RecordFull
)
