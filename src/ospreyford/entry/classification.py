"""What an agent's refusal or failure proves."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.entry.outcome import (
    AttemptOutcome,
    Cause,
    Cut,
    Moved,
    NotRun,
    Unknown,
)
from ospreyford.wire.frame import Fate, Refusal

if TYPE_CHECKING:
    from ospreyford.wire.frame import Failed, Refused

#: Refusals after which this sending did not run and never will.
NOT_RUN_REFUSALS = MappingProxyType(
    {
        Refusal.draining: Cause.draining,
        Refusal.record_full: Cause.record_full,
        Refusal.expired: Cause.deadline,
        Refusal.key_from_future: Cause.bad_key,
        Refusal.key_reused: Cause.key_reused,
        Refusal.voided: Cause.voided,
    },
)

#: Refusals that prove nothing.
UNKNOWN_REFUSALS = MappingProxyType(
    {
        Refusal.predates: Cause.agent_restarted,
        Refusal.wrong_incarnation: Cause.agent_restarted,
        Refusal.key_expired: Cause.key_expired,
        Refusal.undecided: Cause.record_full,
    },
)

UNKNOWN_FAILURES = MappingProxyType(
    {
        Fate.unknown: Cause.backend_lost,
        Fate.answer_dropped: Cause.answer_dropped,
    },
)


class AttemptProgress(NamedTuple):
    """How far an attempt came.

    ``opened``: the agent said that it holds the id. ``began``: the caller
    has seen the answer's head.
    """

    opened: bool
    response_started: bool


def classify_interruption(
    cause: Cause, progress: AttemptProgress
) -> AttemptOutcome:
    """End an attempt whose outcome cannot be known.

    :param cause: why.
    :param progress: how far it came.
    :returns: a cut answer or an unknown outcome.
    """
    return Cut(cause) if progress.response_started else Unknown(cause, 0)


def classify_refusal(
    refused: Refused, progress: AttemptProgress
) -> AttemptOutcome:
    """Judge a refusal.

    :param refused: the agent's frame.
    :param progress: how far the attempt came.
    :returns: what it proves.
    """
    if refused.reason is Refusal.moved:
        return Moved()
    # What the agent has opened was in its record: a refusal of it later
    # proves nothing about its run.
    if refused.reason in NOT_RUN_REFUSALS and not progress.opened:
        return NotRun(NOT_RUN_REFUSALS[refused.reason], refused.retry_after)
    cause = UNKNOWN_REFUSALS.get(refused.reason, Cause.agent_lost)
    if progress.response_started:
        return Cut(cause)
    return Unknown(cause, refused.retry_after)


def classify_failure(
    failed: Failed, progress: AttemptProgress
) -> AttemptOutcome:
    """Judge a failure of the run itself.

    :param failed: the agent's frame.
    :param progress: how far the attempt came.
    :returns: what it proves.
    """
    if failed.fate is Fate.not_run:
        return NotRun(Cause.backend_refused, 0)
    return classify_interruption(UNKNOWN_FAILURES[failed.fate], progress)
