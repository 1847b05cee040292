"""Backend servers that hold the idempotency keys of a service."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import datetime
from typing import NamedTuple

from ospreyford.documents.capacity import CapacityPool


class DatedHome(NamedTuple):
    """A home and its start or end time, in seconds since the Unix epoch."""

    name: str
    timestamp: float


class Homes(NamedTuple):
    """The backend servers that hold a service's idempotency keys.

    ``current`` hold keys now or soon; ``joined`` are those of them that
    accept only keys dated from a given time; ``former`` accepted only keys
    dated up to a given time. Each is sorted by name, and no name is
    both current and former.
    """

    current: tuple[str, ...] = ()
    former: tuple[DatedHome, ...] = ()
    joined: tuple[DatedHome, ...] = ()


def collect_homes(pools: Iterable[CapacityPool]) -> Homes:
    """Merge the homes that the pools of one service declare.

    :param pools: all published pools of the service, including those that
        lost a conflict over their name.
    :returns: the union of all homes.
    """
    # Dropping a declared home could execute a retried call twice, so the
    # union is used, and of two times the one that gives the longer period.
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
    timestamps: dict[str, float],
    name: str,
    date: datetime,
    choose: Callable[[float, float], float],
) -> None:
    timestamp = date.timestamp()
    timestamps[name] = choose(timestamp, timestamps.get(name, timestamp))


def _sort_without(
    timestamps: dict[str, float], names: set[str]
) -> tuple[DatedHome, ...]:
    dated = (
        DatedHome(name, timestamp)
        for name, timestamp in timestamps.items()
        if name not in names
    )
    return tuple(sorted(dated))
