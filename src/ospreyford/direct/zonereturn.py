"""Return of zones that were out of service.

Load pattern: the backends of a returning zone are idle, so that each entry's
choice of the least loaded ones falls on them, and they may be cold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from ospreyford.direct.registry import BackendState
    from ospreyford.direct.zones import ZonesOut


def leave_out_returning(
    backends: list[BackendState],
    tried: Collection[str],
    zones: ZonesOut,
    now: float,
    random: Random,
) -> list[BackendState]:
    """Leave out backends of returning zones, as their share demands.

    :param backends: backends that accept a request.
    :param tried: ids of backends that it was sent to already.
    :param zones: zones that are out or were so recently.
    :param now: seconds on the monotonic clock.
    :param random: source of randomness.
    :returns: those to choose from; all if no other is left that was not tried.
    """
    if now >= zones.returning_until:
        return backends
    point = random.random()
    names = {
        name
        for name in zones.get_statuses()
        if point >= zones.compute_share(name, now)
    }
    left = [one for one in backends if one.server.zone not in names]
    has_untried = any(one.server.id not in tried for one in left)
    return left if has_untried else backends
