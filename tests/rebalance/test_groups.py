"""Several groups in one service, with a real agent beside each rank."""

from __future__ import annotations

import time
from typing import Any

import pytest

from ospreyford.rebalance.decisions import (
    CoordinatorChanged,
    MapChanged,
    OrderRefused,
    SessionEnded,
    SessionStarted,
    TermFenced,
)
from ospreyford.rebalance.groupkey import GroupKey
from ospreyford.rebalance.ports import Reply
from tests.rebalance.fakegroup import FakeGroup
from tests.rebalance.runningagents import (
    Cluster,
    make_host,
    run_cluster,
    wait_until,
)

#: Time in which a wrong order would be given, some elections' worth.
WATCH_SECONDS = 1.5


def make_cluster(*sizes: int, **given: Any) -> Cluster:
    groups = [
        FakeGroup(size, name=f'g{number}') for number, size in enumerate(sizes)
    ]
    return Cluster(groups, **given)


def has_changed(cluster: Cluster, *groups: str, epoch: int = 1) -> bool:
    """Check whether each of the groups has changed its map."""
    made = {
        (line.group, line.epoch)
        for line in cluster.find_lines(MapChanged)
        if line.outcome == 'made'
    }
    return {(group, epoch) for group in groups} <= made


def list_tokens(cluster: Cluster, group: str) -> set[int]:
    lines = cluster.find_lines(CoordinatorChanged)
    return {line.token for line in lines if line.group == group}


def list_fenced(cluster: Cluster) -> list[Any]:
    fenced = [one for one in cluster.given if one.reply is Reply.fenced]
    return [*fenced, *cluster.find_lines(TermFenced)]


@pytest.mark.parametrize('sizes', [(3, 3), (2, 4), (3, 2, 4)])
def test_coordinators_order_ranks_of_their_own_groups_alone(
    sizes: tuple[int, ...],
) -> None:
    """Guards against groups that order and fence each other's ranks."""
    with run_cluster(cluster=make_cluster(*sizes)) as cluster:
        names = [group.name for group in cluster.groups]
        assert wait_until(lambda: has_changed(cluster, *names))
        time.sleep(WATCH_SECONDS)
        assert all(len(list_tokens(cluster, name)) == 1 for name in names)
        assert not cluster.list_strayed_orders()
        assert not list_fenced(cluster)
        assert not cluster.find_lines(OrderRefused)
        assert len(cluster.entry.statuses) == len(sizes)


def test_lost_coordinator_leaves_the_other_group_alone() -> None:
    with run_cluster(cluster=make_cluster(3, 2)) as cluster:
        assert wait_until(lambda: has_changed(cluster, 'g0', 'g1'))
        cluster.kill(0)
        assert wait_until(lambda: len(list_tokens(cluster, 'g0')) == 2)
        time.sleep(WATCH_SECONDS)
        assert len(list_tokens(cluster, 'g1')) == 1
        assert not cluster.list_strayed_orders()


def test_rank_without_agent_is_read_by_its_own_coordinator() -> None:
    """Guards against states of another group under the same rank."""
    # The last rank of the first group, and the second of the other.
    cluster = make_cluster(3, 3, absent=(2, 4))
    with run_cluster(cluster=cluster):
        assert wait_until(lambda: has_changed(cluster, 'g0', 'g1'))
        time.sleep(WATCH_SECONDS)
        assert any(not is_near for _, _, is_near in cluster.submitted)
        assert not cluster.list_strayed_orders()
        assert not list_fenced(cluster)
        rendered = [one.metrics.render() for one in cluster.agents]
        assert any(b'foreign_probes_total 1.0' in one for one in rendered)


#: Hosts of the groups g0, g1 and g2 after a change; g0 has hosts 0 to 2 before
#: and g1 has 3 and 4.
CHANGES = (
    pytest.param(((0, 1), (3, 4, 2), ()), id='moved'),
    pytest.param(((2, 1, 0), (4, 3), ()), id='renumbered'),
    pytest.param(((1, 2), (3, 4, 0), ()), id='coordinator moved'),
    pytest.param(((3, 1, 2), (0, 4), ()), id='swapped'),
    pytest.param(((), (3, 4, 0, 1, 2), ()), id='merged'),
    pytest.param(((0, 1), (3, 4), (2,)), id='split'),
    pytest.param(((0,), (3, 4), (1, 2)), id='split in two'),
    pytest.param(((0, 1, 2, 3, 4), (), ()), id='joined'),
)


@pytest.mark.parametrize('hosts', CHANGES)
def test_ranks_change_groups_with_the_same_addresses(
    hosts: tuple[tuple[int, ...], ...],
) -> None:
    """Guards against what an agent keeps of the group that its rank left."""
    with run_cluster(cluster=make_cluster(3, 2)) as cluster:
        assert wait_until(lambda: has_changed(cluster, 'g0', 'g1'))
        groups = (*cluster.groups, FakeGroup(1, name='g2', epoch=1))
        formed = list(zip(groups, hosts, strict=True))
        cluster.seat(*formed)
        names = [group.name for group, one in formed if len(one) > 1]
        assert wait_until(lambda: has_changed(cluster, *names, epoch=2))
        time.sleep(WATCH_SECONDS)
        assert not cluster.list_strayed_orders()
        assert not cluster.list_held()
        for group, numbers in formed:
            for number in numbers:
                host = make_host(number)
                assert cluster.entry.groups[host] == group.name
                started = cluster.lines[number].find(SessionStarted)
                ended = cluster.lines[number].find(SessionEnded)
                assert started[-1].group == group.name
                assert len(ended) == len(started) - 1


def test_group_without_name_is_left_alone() -> None:
    with run_cluster(cluster=make_cluster(3, 2)) as cluster:
        assert wait_until(lambda: has_changed(cluster, 'g0', 'g1'))
        with cluster.lock:
            cluster.groups[1].name = ''
        assert wait_until(lambda: len(cluster.find_lines(SessionEnded)) == 2)
        before = sum(one.group == '' for one in cluster.given)
        time.sleep(WATCH_SECONDS)
        assert sum(one.group == '' for one in cluster.given) == before
        assert not cluster.list_held()
        with cluster.lock:
            cluster.groups[1].name = 'g1'
            cluster.groups[1].reopen()
        assert wait_until(lambda: has_changed(cluster, 'g1', epoch=2))
        assert cluster.list_strayed_orders() == []


def test_groups_of_one_name_in_two_services_are_two() -> None:
    groups = [FakeGroup(3), FakeGroup(2)]
    cluster = Cluster(groups, services=('s', 't'))
    with run_cluster(cluster=cluster):
        tags = {GroupKey(one, 'g').compute_tag() for one in ('s', 't')}
        assert wait_until(lambda: set(cluster.entry.statuses) == tags)
        assert wait_until(lambda: all(one.ranks[0].version for one in groups))
        time.sleep(WATCH_SECONDS)
        assert len(list_tokens(cluster, 'g')) == 2
        assert not list_fenced(cluster)
        assert not cluster.find_lines(OrderRefused)
