"""Classifies refusals, failures and interruptions into outcomes."""

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

#: Refusals which guarantee that the attempt never runs.
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

#: Refusals that do not tell whether the request ran.
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
    """Progress of an attempt.

    ``opened``: the agent has recorded the execution. ``response_started``:
    the response head was relayed to the caller.
    """

    opened: bool
    response_started: bool


def classify_interruption(
    cause: Cause, progress: AttemptProgress
) -> AttemptOutcome:
    """Classify an attempt that ended without a result from the agent.

    :param cause: cause of the interruption.
    :param progress: progress of the attempt.
    :returns: ``Cut`` if the response had started, else ``Unknown``.
    """
    return Cut(cause) if progress.response_started else Unknown(cause, 0)


def classify_refusal(
    refused: Refused, progress: AttemptProgress
) -> AttemptOutcome:
    """Classify a refusal.

    :param refused: frame from the agent.
    :param progress: progress of the attempt.
    :returns: the outcome.
    """
    if refused.reason is Refusal.moved:
        return Moved()
    # A refusal after Opened does not prove that the request never ran.
    if refused.reason in NOT_RUN_REFUSALS and not progress.opened:
        return NotRun(NOT_RUN_REFUSALS[refused.reason], refused.retry_after)
    cause = UNKNOWN_REFUSALS.get(refused.reason, Cause.agent_lost)
    if progress.response_started:
        return Cut(cause)
    return Unknown(cause, refused.retry_after)


def classify_failure(
    failed: Failed, progress: AttemptProgress
) -> AttemptOutcome:
    """Classify a failed execution.

    :param failed: frame from the agent.
    :param progress: progress of the attempt.
    :returns: the outcome.
    """
    if failed.fate is Fate.not_run:
        return NotRun(Cause.backend_refused, 0)
    return classify_interruption(UNKNOWN_FAILURES[failed.fate], progress)
