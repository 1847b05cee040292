"""Entry settings for attempts and requests."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ospreyford.settings.types import Seconds

MAX_ATTEMPTS = 1_000

AttemptCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_ATTEMPTS)]


class AttemptSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Timeouts of an attempt on one agent.

    :param beat_seconds: interval of heartbeats on a connection in use.
    :param silence_seconds: without a frame for so long a connection is taken
        for silent, and a fresh one asks for the state.
    :param recovery_seconds: how long a fresh connection is tried before the
        outcome is called unknown.
    :param switch_seconds: the same for an idempotent request of which the
        caller has seen nothing: it may run elsewhere.
    :param reconnect_seconds: pause between two tries.
    """

    beat_seconds: Seconds = 0.25
    silence_seconds: Seconds = 0.75
    recovery_seconds: Seconds = 2
    switch_seconds: Seconds = 0.3
    reconnect_seconds: Seconds = 0.1


class RequestSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Limits of a request.

    :param default_deadline_seconds: for a request that names none.
    :param max_deadline_seconds: the longest that a request may name.
    :param max_attempts: sendings of one request, the first included.
    :param retry_after_seconds: when to come back where nothing better is
        known.
    """

    default_deadline_seconds: Seconds = 30
    max_deadline_seconds: Seconds = 120
    max_attempts: AttemptCount = 3
    retry_after_seconds: Seconds = 1
