"""The frames that entries and agents exchange.

A frame is a msgpack array behind its length. Each names the execution that
it belongs to, and each part of an answer carries a sequence number, so that
a late or crossed frame shows as one and is never taken for another's.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TypeAlias

import msgspec

from ospreyford.http.message import Headers
from ospreyford.ports.fleet import LoadReport


class Refusal(StrEnum):
    """Why an agent did not start an execution."""

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
    """What became of an execution that ended without a whole answer."""

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
    """Base of all frames.

    The collector of garbage passes them over: they refer to nothing that
    could refer back, and a record holds very many of them.

    :param execution: the execution's id, unique over customers and services.
    """

    execution: str


class Greeting(Frame, frozen=True, kw_only=True):
    """Agent to entry, first on each connection: who answers here.

    What is sent on this connection reaches this incarnation or nobody: that
    is how an entry knows later whom to ask about it.

    :param execution: always empty.
    :param server: name of the backend server.
    :param incarnation: the agent's incarnation.
    """

    server: str
    incarnation: str


class Start(Frame, frozen=True, kw_only=True):
    """Entry to agent: run a request, unless its id is known already.

    :param attempt: id of this one sending of the request.
    :param idempotent: whether the request may run more than once.
    :param fresh: the entry made the id itself and sends it the first time.
    :param dated: Unix time in milliseconds that the id carries.
    :param expires: Unix time in milliseconds after which it must not start.
    :param fingerprint: hash of method, target and body.
    :param method: HTTP method for the back end.
    :param target: HTTP target for the back end.
    :param headers: HTTP header fields for the back end.
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
    """Entry to agent: tell me the state, and go on from a sequence number.

    An attempt that the agent does not know is voided: a late copy of its
    start will be refused. That is what makes "not run" true.

    :param attempt: id of the sending in question.
    :param dated: Unix time in milliseconds that the execution's id carries.
    :param next_sequence: the first frame of the answer still missing.
    :param incarnation: the incarnation that the start was sent to. Another
        one knows nothing of it and must not void it.
    :param fresh: the entry made the id itself, so that no earlier life of the
        agent can have run it.
    :param moved: the id is to run on another backend server from now on.
    :param sent: a start may be under way, which is to be voided. Otherwise
        the question leaves no trace.
    """

    attempt: str
    dated: int
    next_sequence: int
    incarnation: str
    fresh: bool
    moved: bool = False
    sent: bool = True


class Cancel(Frame, frozen=True, kw_only=True):
    """Entry to agent: nobody waits for this answer any more."""


class Beat(Frame, frozen=True, kw_only=True):
    """Heartbeat in both directions; says only that the sender lives."""


class Opened(Frame, frozen=True, kw_only=True):
    """Agent to entry: the execution is recorded and its answer follows.

    :param incarnation: the agent's incarnation.
    :param load: the backend server's load.
    """

    incarnation: str
    load: LoadReport


class Refused(Frame, frozen=True, kw_only=True):
    """Agent to entry: this agent will not run this id.

    :param incarnation: the agent's incarnation.
    :param reason: why.
    :param retry_after: seconds until one may come again.
    :param load: the backend server's load.
    """

    incarnation: str
    reason: Refusal
    retry_after: float
    load: LoadReport


class Head(Frame, frozen=True, kw_only=True):
    """Agent to entry: the head of the answer.

    :param sequence: always 0.
    :param status: HTTP status.
    :param headers: HTTP header fields of the back end.
    """

    sequence: int
    status: int
    headers: Headers


class Piece(Frame, frozen=True, kw_only=True):
    """Agent to entry: a piece of the answer's body."""

    sequence: int
    content: bytes


class End(Frame, frozen=True, kw_only=True):
    """Agent to entry: the answer is whole.

    :param sequence: number of this frame.
    :param load: the backend server's load.
    """

    sequence: int
    load: LoadReport


class Failed(Frame, frozen=True, kw_only=True):
    """Agent to entry: the answer will never be whole.

    :param sequence: number of this frame.
    :param fate: what became of the execution.
    """

    sequence: int
    fate: Fate


AnswerFrame: TypeAlias = Head | Piece | End | Failed
EntryFrame: TypeAlias = Start | Follow | Cancel | Beat
AgentFrame: TypeAlias = (
    Greeting | Beat | Opened | Refused | Head | Piece | End | Failed
)
