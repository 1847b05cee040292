"""Backend servers of a pool, and who holds a service's idempotency keys."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ospreyford.documents.capacity import CapacityPool


class DatedHome(NamedTuple):
    """A backend server that held idempotency keys earlier.

    ``until`` is in seconds since the Unix epoch, UTC: keys dated after it
    cannot have been taken there.
    """

    name: str
    until: float


class Homes(NamedTuple):
    """The backend servers that hold a service's idempotency keys.

    Both are sorted by name; ``former`` names none that is current.
    """

    current: tuple[str, ...] = ()
    former: tuple[DatedHome, ...] = ()


def collect_homes(pools: Iterable[CapacityPool]) -> Homes:
    """Join the homes that the pools of one service declare.

    :param pools: all published pools of the service, also those that lost
        a conflict over their name.
    :returns: the union of all of them.
    """
    # Were only one document's list used, a second team's pool could take the
    # first one's homes out of the list, and a repeated call would run again
    # on another backend server. So every declared home counts, and of two
    # dates of a former one the later.
    current: set[str] = set()
    former: dict[str, float] = {}
    for pool in pools:
        current.update(pool.homes)
        for home in pool.former_homes:
            until = home.until_seconds()
            former[home.name] = max(until, former.get(home.name, until))
    dated = (
        DatedHome(name, until)
        for name, until in former.items()
        if name not in current
    )
    return Homes(tuple(sorted(current)), tuple(sorted(dated)))
