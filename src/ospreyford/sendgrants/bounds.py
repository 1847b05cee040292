"""Bounds of what agents and entries let pass to a backend of a limited rate.

Load pattern: all callers of a backend at one entry, or spread over many, while
entries and agents start, freeze and disagree on which agent grants.

A sending is used at most :data:`GRANT_SECONDS` after the entry asked for it, so
those used within any second were granted within a little more than that second.
What all its agents grant at once, and what entries send without a grant, is at
most ``1.5 * rate + 3`` in any second, and ``6 * rate + 5`` in any four.
"""

from __future__ import annotations

import math
from typing import Final, NamedTuple

#: Time after the request for a sending at which the sending lapses.
GRANT_SECONDS: Final = 0.2
#: A second, the life of a grant, and a margin for rates of clocks.
SHORT_WINDOW_SECONDS: Final = 1.25
LONG_WINDOWS: Final = 4
LONG_WINDOW_SECONDS: Final = LONG_WINDOWS * SHORT_WINDOW_SECONDS
#: Part of a second's rate that an agent grants in each short window, by its
#: rank. All grant at once where entries have lost messages of different ones.
GRANT_FRACTIONS: Final = (0.7, 0.4, 0.2, 0.1)
#: Ranks that grant a sending now and then also at low rates.
ROUNDED_UP_RANKS: Final = 2
#: Part of the rate that all entries together send without a grant.
FREE_FRACTION: Final = 0.05
#: The same where no agents exist: a share may be used at both ends of a second.
UNARBITRATED_FRACTION: Final = 0.75
#: Rate of the requests that find out whether a backend takes requests again.
MIN_RATE: Final = 0.25
#: What the bound above holds beside a multiple of the rate.
BOUND_OVERAGE: Final = 1.5
BOUND_REQUESTS: Final = 3


class Window(NamedTuple):
    """A bound of the grants of one agent.

    :param seconds: length of the window.
    :param grants: maximum number of grants in any such window.
    """

    seconds: float
    grants: int


def list_windows(rate: float, rank: int) -> tuple[Window, Window]:
    """List the bounds of one agent's grants.

    :param rate: requests per second that the backend takes from all entries.
    :param rank: the agent's place among those of the backend.
    :returns: the bounds, the shorter window first.
    """
    fraction: float = 0
    if 0 <= rank < len(GRANT_FRACTIONS):
        fraction = GRANT_FRACTIONS[rank]
    grants = fraction * max(rate, MIN_RATE)
    to_whole = math.ceil if rank < ROUNDED_UP_RANKS else math.floor
    return (
        Window(SHORT_WINDOW_SECONDS, to_whole(grants)),
        Window(LONG_WINDOW_SECONDS, to_whole(LONG_WINDOWS * grants)),
    )


def compute_cold_rate(rate: float, overage: float, slack: float) -> float:
    """Compute the rate whose bound stays within that of a cold backend.

    :param rate: requests per second that a cold backend takes.
    :param overage: the bound of a second, relative to ``rate``.
    :param slack: additional requests in that second.
    :returns: the rate, at most ``rate``.
    """
    allowed = overage * rate + slack - BOUND_REQUESTS
    return max(min(rate, allowed / BOUND_OVERAGE), 0)
