"""Shared limits under faults: ``python -m ospreyford.measure.limits``."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from itertools import product
from statistics import fmean
from typing import NamedTuple

from tabulate import tabulate

from ospreyford.limits.owners import OwnerDirectory
from ospreyford.limits.settings import ShareSettings
from ospreyford.measure.limits_model import Entry, Network, run_whole, show
from ospreyford.measure.limits_scale import Row, play_scale

CUSTOMER = 'customer'
#: Requests a second that the customer sends in all, in multiples of its
#: limit, so that whatever is admitted is the limit's doing.
DEMAND = 2.0
#: Requests counted a second; only their proportion matters.
REQUESTS = 60
WARM_UP = 12
SECONDS = 32
RESERVES = (0, 0.2, 0.5, 1)
#: Entries where requests are thinly spread, and what happens there. The size
#: to design for, 1,200, takes a quarter of an hour.
SIZE = 300
SCALE_EVENTS = ('none', 'partition')
EVENTS = ('none', 'home dies', 'partition')


class Trial(NamedTuple):
    """One row: entries, who gets the requests, reserve, and the fault."""

    entries: int
    spread: str
    reserved: float
    event: str


def list_trials() -> Iterator[Trial]:
    """List the rows.

    :yields: all combinations.
    """
    for row in product((3, 12), ('one entry', 'all'), RESERVES, EVENTS):
        yield Trial(*row)


def play(trial: Trial) -> tuple[float, ...]:
    """Play one row.

    :param trial: the row.
    :returns: mean, least and most of what was admitted in the seconds after
        the fault, in parts of the limit, and bytes a second of one entry.
    """
    names = tuple(f'entry-{number}' for number in range(trial.entries))
    network = Network()
    network.entries = {
        name: Entry(name, network, names, trial.reserved) for name in names
    }
    home = _find_home(network)
    receivers = [other for other in names if other != home]
    if trial.spread == 'one entry':
        receivers = receivers[:1]
    admitted = [
        _step(network, second, trial.event, home, receivers)
        for second in range(SECONDS)
    ]
    after = admitted[WARM_UP:]
    rate = network.sent / SECONDS / trial.entries
    return fmean(after), min(after), max(after), rate


def _find_home(network: Network) -> str:
    name = min(network.entries)
    members = network.entries[name]
    return OwnerDirectory(name, members, ShareSettings(), 0).find_owner(
        CUSTOMER
    )


def _step(
    network: Network, second: int, event: str, home: str, receivers: list[str]
) -> float:
    if event != 'none':
        _apply(network, second - WARM_UP, event, home)
    shares = [network.entries[name].share for name in receivers]
    for share in shares:
        for _ in range(REQUESTS // len(shares)):
            share.record_demand(CUSTOMER, network.now)
    for entry in network.entries.values():
        if not entry.dead:
            run_whole(entry.share.renew_leases())
    network.now += 1
    part = DEMAND / len(shares)
    return sum(
        min(part, one.get_fraction(CUSTOMER, network.now)) for one in shares
    )


def _apply(network: Network, since: int, event: str, home: str) -> None:
    """Cut at 0 s, seen by all at 2 s, gone from the host list at 8 s."""
    names = sorted(network.entries)
    # The home is alone, or leads the smaller part.
    cut = [home] if event == 'home dies' else names[: len(names) // 3]
    match since:
        case 0:
            for name in cut:
                network.entries[name].side = 1
                network.entries[name].dead = event == 'home dies'
        case 2:
            show(network, cut)
        case 8:
            for entry in network.entries.values():
                entry.known = len(names) - (event == 'home dies')


def main() -> None:
    """Print the tables."""
    headers = (*Trial._fields, 'mean', 'least', 'most', 'bytes/s')
    rows = [(*trial, *play(trial)) for trial in list_trials()]
    table = tabulate(rows, headers, tablefmt='github', floatfmt='.3f')
    sys.stdout.write(f'{table}\n\n')
    spread = [row for event in SCALE_EVENTS for row in play_scale(SIZE, event)]
    table = tabulate(spread, Row._fields, tablefmt='github', floatfmt='.3f')
    sys.stdout.write(f'{table}\n')


if __name__ == '__main__':
    main()
