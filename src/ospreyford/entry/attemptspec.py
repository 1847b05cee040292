"""Where one sending of a call goes."""

from __future__ import annotations

from typing import NamedTuple

from ospreyford.http.message import Headers
from ospreyford.ports.fleet import Host
from ospreyford.routing.budget import Allowance
from ospreyford.routing.query import Attempt as AttemptKind


class AttemptSpec(NamedTuple):
    """One sending of a call: which host, and why."""

    host: Host
    attempt_kind: AttemptKind
    execution: str
    dated: int
    headers: Headers
    allowance: Allowance | None = None
