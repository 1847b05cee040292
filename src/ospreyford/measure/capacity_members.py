"""Processor time of what grows with the hosts listed.

``python -m ospreyford.measure.capacity_members`` prints it alone.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator

from tabulate import tabulate

from ospreyford.measure.capacity_cost import Cost, spend
from ospreyford.measure.capacity_samples import (
    decode_fleet,
    encode_fleet,
    make_membership,
)
from ospreyford.measure.capacity_size import (
    HOST_LIST_SECONDS,
    MEMBER_CHANGES_PER_SECOND,
)
from ospreyford.membership.service import Membership
from ospreyford.ports.fleet import Host, HostState


def time_members(body: bytes, hosts: tuple[Host, ...]) -> Iterator[Cost]:
    """Time what grows with the hosts listed.

    :param body: the host list as sent.
    :param hosts: the hosts.
    :yields: the costs.
    """
    membership = make_membership()
    membership.handle_hosts(hosts)
    reading = 1 / HOST_LIST_SECONDS
    spent = spend(lambda: membership.handle_hosts(decode_fleet(body)))
    yield Cost('both', 'a host list read and compared', spent, reading)
    spent = spend(membership.members)
    yield Cost('both', 'members listed to pace the readings', spent, reading)
    spent = spend(membership.summary.count_by_state)
    yield Cost('both', 'members counted for the metrics', spent, 1)
    changed = iter(hosts)
    spent = spend(lambda: _count_anew(membership, next(changed)))
    yield Cost(
        'both',
        'members counted after a change',
        spent,
        MEMBER_CHANGES_PER_SECOND,
    )
    spent = spend(
        lambda: frozenset(one.peer_address for one in membership.members())
    )
    yield Cost(
        'rank',
        'live members for the rank group',
        spent,
        MEMBER_CHANGES_PER_SECOND,
    )


def _count_anew(membership: Membership, host: Host) -> None:
    membership.handle_hosts([host._replace(state=HostState.leaving)])
    membership.summary.count_by_state()


def main() -> None:
    """Print the costs as Markdown."""
    body = encode_fleet()
    rows = [
        (cost.name, cost.microseconds, cost.percent)
        for cost in time_members(body, decode_fleet(body))
    ]
    headers = ['work', 'us', '% of a core']
    table = tabulate(
        rows, headers, tablefmt='github', floatfmt=('', '.1f', '.3f')
    )
    sys.stdout.write(f'{table}\n')


if __name__ == '__main__':
    main()
