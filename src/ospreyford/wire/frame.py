"""The frames that entries and agents exchange.

A frame is a length-prefixed msgpack array. It carries its execution id, and
response frames a sequence number, so that misdirected frames are detected.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TypeAlias

import msgspec

from ospreyford.http.message import Headers
from ospreyford.ports.fleet import LoadReport


class Refusal(StrEnum):
    """Reasons for which an agent rejects an execution."""

    draining = 'draining'
    record_full = 'record-full'
    expired = 'expired'
    voided = 'voided'
    moved = 'moved'
    predates = 'predates'
    key_expired = 'key-expired'
    key_from_future = 'key-from-future'
    key_reused = 'key-reused'
    wrong_incarnation = 'wrong-incarnation'
    undecided = 'undecided'


class Fate(StrEnum):
    """Outcome of an execution that ended without a complete response."""

    not_run = 'not-run'
    unknown = 'unknown'
    answer_dropped = 'answer-dropped'


class Frame(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag=True,
    gc=False,
):
    """Base class of all frames.

    Not tracked by the garbage collector, since frames cannot form cycles.

    :param execution: execution id, unique across customers and services.
    """

    execution: str


class Greeting(Frame, frozen=True, kw_only=True):
    """Agent to entry, first on each connection: identity of the agent.

    :param execution: always empty.
    :param server: name of the backend server.
    :param incarnation: the agent's incarnation.
    """

    server: str
    incarnation: str


class Start(Frame, frozen=True, kw_only=True):
    """Entry to agent: run a request unless its execution id is known.

    :param attempt: id of this attempt.
    :param idempotent: whether the request may run more than once.
    :param fresh: the entry created the id and sends it for the first time.
    :param dated: timestamp of the execution id, Unix time in milliseconds.
    :param expires: latest start, Unix time in milliseconds.
    :param fingerprint: hash of method, target and body.
    :param method: HTTP method for the backend.
    :param target: HTTP target for the backend.
    :param headers: HTTP header fields for the backend.
    :param body: the request's body.
    """

    attempt: str
    idempotent: bool
    fresh: bool
    dated: int
    expires: int
    fingerprint: int
    method: str
    target: str
    headers: Headers
    body: bytes


class Follow(Frame, frozen=True, kw_only=True):
    """Entry to agent: report the state and resume at a sequence number.

    An attempt unknown to the agent is voided: a delayed start is rejected,
    so that the agent can safely report it as not run.

    :param attempt: id of the attempt.
    :param dated: timestamp of the execution id, Unix time in milliseconds.
    :param next_sequence: sequence number of the first missing response frame.
    :param incarnation: the incarnation that the start was sent to; another one
        must not void it.
    :param fresh: the entry created the id, so that no earlier incarnation of
        the agent can have run it.
    :param moved: the execution moves to another backend server.
    :param sent: a start may be in flight and is to be voided; otherwise the
        agent keeps no state.
    """

    attempt: str
    dated: int
    next_sequence: int
    incarnation: str
    fresh: bool
    moved: bool = False
    sent: bool = True


class Cancel(Frame, frozen=True, kw_only=True):
    """Entry to agent: the response is no longer needed."""


class Beat(Frame, frozen=True, kw_only=True):
    """Heartbeat in both directions."""


class Opened(Frame, frozen=True, kw_only=True):
    """Agent to entry: the execution is recorded and its response follows.

    :param incarnation: the agent's incarnation.
    :param load: the backend server's load.
    """

    incarnation: str
    load: LoadReport


class Refused(Frame, frozen=True, kw_only=True):
    """Agent to entry: the agent rejects the execution.

    :param incarnation: the agent's incarnation.
    :param reason: the reason.
    :param retry_after: seconds to wait before a retry.
    :param load: the backend server's load.
    """

    incarnation: str
    reason: Refusal
    retry_after: float
    load: LoadReport


class Head(Frame, frozen=True, kw_only=True):
    """Agent to entry: the head of the response.

    :param sequence: always 0.
    :param status: HTTP status.
    :param headers: HTTP header fields of the backend.
    """

    sequence: int
    status: int
    headers: Headers


class Piece(Frame, frozen=True, kw_only=True):
    """Agent to entry: a chunk of the response body."""

    sequence: int
    content: bytes


class End(Frame, frozen=True, kw_only=True):
    """Agent to entry: the response is complete.

    :param sequence: number of this frame.
    :param load: the backend server's load.
    """

    sequence: int
    load: LoadReport


class Failed(Frame, frozen=True, kw_only=True):
    """Agent to entry: the response cannot be completed.

    :param sequence: number of this frame.
    :param fate: outcome of the execution.
    """

    sequence: int
    fate: Fate


AnswerFrame: TypeAlias = Head | Piece | End | Failed
EntryFrame: TypeAlias = Start | Follow | Cancel | Beat
AgentFrame: TypeAlias = (
    Greeting | Beat | Opened | Refused | Head | Piece | End | Failed
)
