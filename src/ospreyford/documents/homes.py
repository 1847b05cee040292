"""Who holds the idempotency keys of a service, and since and until when."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import datetime
from typing import NamedTuple

from ospreyford.documents.capacity import CapacityPool


class DatedHome(NamedTuple):
    """A backend server and the moment that bounds its time as a home.

    ``moment`` is in seconds since the Unix epoch, UTC.
    """

    name: str
    timestamp: float


class Homes(NamedTuple):
    """The backend servers that hold a service's idempotency keys.

    ``current`` are all that hold them now or soon; ``joined`` those of them
    that take only keys dated from a moment on; ``former`` those that took
    only keys dated up to a moment. Each is sorted by name, and no name is
    both current and former.
    """

    current: tuple[str, ...] = ()
    former: tuple[DatedHome, ...] = ()
    joined: tuple[DatedHome, ...] = ()


def collect_homes(pools: Iterable[CapacityPool]) -> Homes:
    """Join the homes that the pools of one service declare.

    :param pools: all published pools of the service, also those that lost
        a conflict over their name.
    :returns: the union of all of them.
    """
    # Were only one document's list used, a second team's pool could take the
    # first one's homes out of the list, and a repeated call would run again
    # on another backend server. So every declared home counts, and of two
    # moments the one that bounds its time less.
    permanent: set[str] = set()
    joined: dict[str, float] = {}
    former: dict[str, float] = {}
    for pool in pools:
        permanent.update(pool.homes)
        for new in pool.new_homes:
            _record_timestamp(joined, new.name, new.since, min)
        for old in pool.former_homes:
            _record_timestamp(former, old.name, old.until, max)
    current = permanent.union(joined)
    return Homes(
        tuple(sorted(current)),
        _sort_without(former, current),
        _sort_without(joined, permanent.union(former)),
    )


def _record_timestamp(
    moments: dict[str, float],
    name: str,
    date: datetime,
    choose: Callable[[float, float], float],
) -> None:
    moment = date.timestamp()
    moments[name] = choose(moment, moments.get(name, moment))


def _sort_without(
    moments: dict[str, float], names: set[str]
) -> tuple[DatedHome, ...]:
    dated = (
        DatedHome(name, moment)
        for name, moment in moments.items()
        if name not in names
    )
    return tuple(sorted(dated))
