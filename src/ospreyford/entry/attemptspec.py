"""Backend and execution id of one attempt."""

from __future__ import annotations

from typing import NamedTuple

from ospreyford.http.message import Headers
from ospreyford.ports.fleet import Host
from ospreyford.routing.budget import Allowance
from ospreyford.routing.query import Attempt as AttemptKind


class AttemptSpec(NamedTuple):
    """One attempt at a call; ``dated`` is Unix time in milliseconds."""

    host: Host
    attempt_kind: AttemptKind
    execution: str
    dated: int
    headers: Headers
    allowance: Allowance | None = None
