"""How a request, or one sending of it, ended."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.http.message import Response


class Cause(StrEnum):
    """Why a request was not answered by a back end."""

    no_configuration = 'no configuration yet'
    stale_configuration = 'configuration too old to check keys'
    no_route = 'no such route'
    unknown_key = 'unknown key'
    key_withdrawn = 'key withdrawn, or too long unconfirmed'
    no_backend = 'no back end takes work'
    refused = 'refused by back ends'
    unreachable = 'back ends unreachable'
    overloaded = 'no place in time'
    lost = 'connection to the back end lost'
    garbled = 'answer of the back end unusable'
    out_of_time = 'time is up'
    left = 'caller left'
    stopping = 'the process ends'


@dataclass(frozen=True)
class Refused:
    """The back end did not run the request and never will.

    :param head: its answer, or ``None`` if no connection could be opened.
    """

    head: Response | None


@dataclass(frozen=True)
class Lost:
    """The request was sent and its fate is unknown.

    :param cause: what was seen.
    """

    cause: Cause


@dataclass(frozen=True)
class Replied:
    """The back end ran the request and answered in whole.

    :param head: status and header fields.
    :param body: the whole body.
    """

    head: Response
    body: bytes


@dataclass(frozen=True)
class Streaming:
    """The back end began a stream.

    :param head: status and header fields.
    """

    head: Response


Sent = Refused | Lost | Replied | Streaming


@dataclass(frozen=True)
class Answered:
    """The caller got a back end's answer.

    :param status: its HTTP status.
    """

    status: int


@dataclass(frozen=True)
class NotRun:
    """The caller was told that the request has not run.

    :param cause: why.
    :param retry_after: seconds after which coming back may help.
    """

    cause: Cause
    retry_after: float


@dataclass(frozen=True)
class Denied:
    """The caller was told that the request is not allowed.

    :param cause: why.
    :param status: the HTTP status.
    """

    cause: Cause
    status: int


@dataclass(frozen=True)
class Unknown:
    """The caller was told that the outcome is unknown.

    :param cause: why.
    :param status: the HTTP status.
    """

    cause: Cause
    status: int


@dataclass(frozen=True)
class Cut:
    """The answer was begun and could not be finished.

    :param cause: why.
    :param last_event: id of the last event that the caller got.
    """

    cause: Cause
    last_event: int | None


@dataclass(frozen=True)
class Left:
    """The caller left before its answer was whole."""


Verdict = Answered | NotRun | Denied | Unknown | Cut | Left
