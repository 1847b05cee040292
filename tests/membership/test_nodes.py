from __future__ import annotations

import random
from collections.abc import Callable

import curio

from ospreyford.membership.member import Member, MemberState, new_incarnation
from ospreyford.membership.service import Membership
from ospreyford.membership.settings import MembershipSettings
from ospreyford.peers.node import PeerNode
from ospreyford.peers.settings import PeerSettings
from ospreyford.ports.clock import SystemClock

CLOCK = SystemClock()
RNG = random.Random(1)


async def started(
    name: str, seeds: tuple[str, ...]
) -> tuple[PeerNode, Membership]:
    """Start a node and its membership on a free port."""
    incarnation = new_incarnation(CLOCK, RNG)
    node = PeerNode(PeerSettings(address='127.0.0.1:0'), incarnation)
    await node.start()
    me = Member(
        name,
        'i',
        'entry',
        'a',
        'r',
        's',
        node.address,
        node.address,
        incarnation,
    )
    settings = MembershipSettings(
        seeds=seeds,
        period_seconds=0.1,
        probe_timeout=0.3,
        relay_timeout=0.7,
        suspicion_seconds=0.5,
        pause_seconds=2,
    )
    membership = Membership(settings, me, node, CLOCK, RNG)
    await curio.spawn(membership.run, daemon=True)
    return node, membership


async def until(condition: Callable[[], bool]) -> None:
    async with curio.timeout_after(20):
        while not condition():
            await curio.sleep(0.05)


def test_real_nodes_agree_on_the_living_and_the_dead() -> None:
    async def main() -> None:
        first = await started('h0', ())
        seeds = (first[0].address,)
        fleet = [first]
        for name in ('h1', 'h2', 'h3'):
            fleet.append(await started(name, seeds))
        views = [membership for _, membership in fleet]
        await until(lambda: {len(view.members()) for view in views} == {4})
        await until(lambda: not any(view.is_stale() for view in views))
        await fleet[3][0].stop()
        dead = {MemberState.dead}
        others = views[:3]
        await until(lambda: {view.state_of('h3') for view in others} == dead)
        assert len(views[0].members()) == 3
        for node, _ in fleet[:3]:
            await node.stop()

    curio.run(main)
