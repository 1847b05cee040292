"""Members on real sockets."""

from __future__ import annotations

import random
from collections.abc import Callable

import curio

from ospreyford.membership.member import Member, generate_incarnation
from ospreyford.membership.service import Membership
from ospreyford.membership.settings import MembershipSettings
from ospreyford.peers.node import PeerNode
from ospreyford.peers.settings import PeerSettings
from ospreyford.ports.clock import SystemClock

CLOCK = SystemClock()
RNG = random.Random(1)


async def start_member(
    name: str,
    seeds: tuple[str, ...],
) -> tuple[PeerNode, Membership]:
    """Start a node on a free port, without running its membership."""
    incarnation = generate_incarnation(CLOCK, RNG)
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
    return node, Membership(settings, me, node, CLOCK, RNG)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with curio.timeout_after(30):
        while not condition():
            await curio.sleep(0.05)
