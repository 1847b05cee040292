"""Decision whether a request that may crash backends is sent.

Load pattern: a request crashes each backend that begins to run it, and comes
again, at any entry; or all requests that share one part of their prompts do.
After some crashes they are blocked; rare trials free what merely ran beside the
crashes.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final, NamedTuple

from ospreyford.suspects.bursts import WINDOW_SECONDS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.suspects.suspect import Strike, Suspect

#: Crashes at which a request or part is blocked.
PLAIN_LIMIT: Final = 3
#: The same in a rank group, where each crash closes the group for all.
GROUP_LIMIT: Final = 2
#: Delays from the latest crash to the next trial, after no, one and more
#: crashes beyond the limit; then there are no more. Either way there are three
#: trials at most after the third crash.
PLAIN_TRIAL_SECONDS: Final = (30.0, 600.0, 3600.0)
GROUP_TRIAL_SECONDS: Final = (10.0, 60.0, 600.0, 3600.0)
#: Delay to the first trial if all crashes were one event: the request may
#: merely have run on several of the backends that were lost.
EVENT_TRIAL_SECONDS = 2.0
#: Delay to the next trial of a request that holds only some of several suspects
#: that were at the same crashes: its outcome tells them apart.
AMBIGUOUS_TRIAL_SECONDS = 2.0
#: Crashes beyond the limit up to which this holds.
MAX_AMBIGUOUS_EXTRA: Final = 1
#: Factors for entries that did not see the latest crash, the first and the last
#: of them, so that two entries do not try at the same moment.
FIRST_ENTRY_FACTOR = 2
OTHER_ENTRY_FACTOR = 4


class Decision(Enum):
    """What to do with a request."""

    #: Send it as any other.
    send = 'send'
    #: Send it once, to see whether it still crashes its backend.
    trial = 'trial'
    #: Do not send it.
    block = 'block'


class Delays(NamedTuple):
    """What delays the trials of a suspect at one entry.

    :param is_ambiguous: whether the request holds only some of several equal
        suspects.
    :param turn: the entry's place among those that did not see the latest
        crash, from 0 for the first to 1 for the last.
    """

    is_ambiguous: bool = False
    turn: float = 1.0


DEFAULT_DELAYS: Final = Delays()


def decide(
    suspect: Suspect | None,
    last_trial_at: float | None,
    now: float,
    delays: Delays = DEFAULT_DELAYS,
) -> Decision:
    """Decide whether a request is sent as far as one suspect goes.

    :param suspect: the request or a part of it, if it is blamed.
    :param last_trial_at: time of its latest trial, if any, in seconds on the
        monotonic clock.
    :param now: seconds on the monotonic clock.
    :param delays: what delays its trials here.
    :returns: the decision.
    """
    active = suspect.list_active() if suspect else []
    if suspect is None or len(active) < suspect.limit:
        return Decision.send
    delay = _compute_delay(suspect.limit, active, delays)
    if delay is None:
        return Decision.block
    latest = active[-1]
    if not latest.is_own:
        spread = OTHER_ENTRY_FACTOR - FIRST_ENTRY_FACTOR
        delay *= FIRST_ENTRY_FACTOR + spread * delays.turn
    since = latest.changed_at
    if last_trial_at is not None:
        since = max(since, last_trial_at)
    return Decision.trial if now - since >= delay else Decision.block


def _compute_delay(
    limit: int, active: Sequence[Strike], delays: Delays
) -> float | None:
    """Compute the delay to the next trial.

    :returns: seconds, or ``None`` if there is none.
    """
    extra = len(active) - limit
    if delays.is_ambiguous and extra <= MAX_AMBIGUOUS_EXTRA:
        return AMBIGUOUS_TRIAL_SECONDS
    if active[-1].changed_at - active[0].changed_at < WINDOW_SECONDS:
        return EVENT_TRIAL_SECONDS
    is_plain = limit >= PLAIN_LIMIT
    table = PLAIN_TRIAL_SECONDS if is_plain else GROUP_TRIAL_SECONDS
    return table[extra] if extra < len(table) else None
