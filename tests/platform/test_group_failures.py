"""What fails in one rank group, and what the others of its service notice."""

from __future__ import annotations

import time
from collections.abc import Sequence
from itertools import chain
from pathlib import Path

import curio

from ospreyford.platform.standins.replicas import SLOTS
from tests.platform.drills.judge import SERVED_FRACTION
from tests.platform.groupchecks import (
    find_fenced,
    find_mixed_passes,
    find_refused,
    find_shared_tokens,
)
from tests.platform.groupfleet import OK_STATUS, Call, GroupFleet

INTERVAL_SECONDS = 0.2
#: Streams of both groups, nearly as many as one of them can run.
CROWDED_SECONDS = 0.1
#: Time for elections, members and first maps.
SETTLE_SECONDS = 3.0
#: Time from a failure until the rest must run as before.
RECOVERY_SECONDS = 3.0
SIGHT_SECONDS = 3.0
#: A caller that is refused learns it in a third of its deadline.
TOLD_SECONDS = 0.67


def list_findings(fleet: GroupFleet) -> list[str]:
    """List what may not happen whatever fails."""
    return [
        *find_shared_tokens(fleet.record.orders, fleet.list_terms()),
        *find_mixed_passes(fleet.record),
    ]


def list_tokens(fleet: GroupFleet, name: str, since: float) -> set[int]:
    """List the tokens that ordered ranks of a group since a time."""
    return {
        one.token
        for one in fleet.record.orders
        if one.group == name and one.at > since
    }


def is_served(calls: Sequence[Call]) -> bool:
    """Return whether service is as without a fault."""
    served = sum(one.status == OK_STATUS for one in calls)
    return bool(calls) and served >= SERVED_FRACTION * len(calls)


def test_a_lost_coordinator_concerns_its_group(tmp_path: Path) -> None:
    """Guards against an election that reaches into the other group."""
    fleet = GroupFleet((3, 3), tmp_path)

    async def scenario() -> None:
        await curio.sleep(SETTLE_SECONDS)
        lost, other = map(fleet.find_coordinator, fleet.groups)
        fleet.agents[lost.host].kill()
        killed_at = time.time()
        await curio.sleep(RECOVERY_SECONDS + SIGHT_SECONDS)
        elected = fleet.find_coordinator(fleet.groups[0])
        assert elected.token > lost.token
        settled_at = killed_at + RECOVERY_SECONDS
        assert list_tokens(fleet, 'g0', settled_at) == {elected.token}
        assert list_tokens(fleet, 'g1', 0) == {other.token}
        assert fleet.find_coordinator(fleet.groups[1]) == other
        assert not list_findings(fleet)

    curio.run(fleet.run, INTERVAL_SECONDS, scenario)


def test_a_rank_without_agent_is_ordered_by_its_group(tmp_path: Path) -> None:
    """Guards against a probe that records a rank of another group."""
    fleet = GroupFleet((2, 3), tmp_path)

    async def scenario() -> None:
        await curio.sleep(SETTLE_SECONDS)
        terms = [fleet.find_coordinator(group) for group in fleet.groups]
        away = next(
            rank.address[0]
            for rank in fleet.groups[1].members
            if rank.address[0] != terms[1].host
        )
        fleet.agents[away].kill()
        settled_at = time.time() + RECOVERY_SECONDS
        await curio.sleep(RECOVERY_SECONDS + SIGHT_SECONDS)
        orders = fleet.record.orders
        probed = [one for one in orders if one.host == away]
        assert {one.token for one in probed if one.at > settled_at} == {
            terms[1].token
        }
        assert list_tokens(fleet, 'g0', 0) == {terms[0].token}
        late = [one for one in orders if one.at > settled_at]
        assert not list(find_refused(late))
        assert not list(find_fenced(orders))
        assert not list_findings(fleet)

    curio.run(fleet.run, INTERVAL_SECONDS, scenario)


def test_a_broken_group_leaves_the_other_serving(tmp_path: Path) -> None:
    """Guards against a service that is closed, or swamped, with one group."""
    fleet = GroupFleet((3, 3), tmp_path)

    async def scenario() -> None:
        await curio.sleep(SETTLE_SECONDS)
        broken, other = fleet.groups
        tokens = list_tokens(fleet, 'g1', 0)
        broken.options = broken.options._replace(form_seconds=2.0)
        await broken.members[1].crash()
        await curio.sleep(1.0)
        seen_at = time.time()
        await curio.sleep(1.5)
        assert not broken.is_open
        # Neither streams nor attempts.
        assert fleet.list_tried(seen_at) == {'g1'}
        # The rest of the load of both groups fits into one.
        calls = [one for one in fleet.calls if one.at > seen_at]
        assert is_served(calls)
        refused = [one for one in calls if one.status != OK_STATUS]
        assert max((one.seconds for one in refused), default=0) < TOLD_SECONDS
        peak = 0
        while fleet.list_reached(seen_at) != {'g0', 'g1'}:
            assert time.time() < seen_at + 10, 'no stream after the return'
            await curio.sleep(0.05)
        opened_at = time.time()
        while time.time() < opened_at + SIGHT_SECONDS:
            peak = max(peak, *(one.active for one in broken.members))
            await curio.sleep(0.02)
        assert peak <= SLOTS
        assert is_served([one for one in fleet.calls if one.at > opened_at + 1])
        assert list_tokens(fleet, 'g1', 0) == tokens
        assert other.closings == 0
        assert not list_findings(fleet)

    curio.run(fleet.run, CROWDED_SECONDS, scenario)


def test_a_rank_changes_its_group(tmp_path: Path) -> None:
    """Guards against an agent that stays in the group which its rank left."""
    fleet = GroupFleet((3, 2), tmp_path)

    async def scenario() -> None:
        await curio.sleep(SETTLE_SECONDS)
        first, second = fleet.groups
        await first.move(first.members[0], second)
        moved_at = time.time()
        await curio.sleep(RECOVERY_SECONDS)
        settled_at = time.time()
        await curio.sleep(SIGHT_SECONDS)
        assert fleet.list_reached(settled_at) == {'g0', 'g1'}
        late = [one for one in fleet.record.orders if one.at > settled_at]
        assert {one.group for one in late} == {'g0', 'g1'}
        assert {(one.group, one.rank) for one in late} == {
            ('g0', 0),
            ('g0', 1),
            ('g1', 0),
            ('g1', 1),
            ('g1', 2),
        }
        assert not list(chain(find_refused(late), find_fenced(late)))
        assert is_served([one for one in fleet.calls if one.at > moved_at + 1])
        assert not list_findings(fleet)

    curio.run(fleet.run, INTERVAL_SECONDS, scenario)
