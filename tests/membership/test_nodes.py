"""Membership over real sockets and processes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import curio

from ospreyford.membership.member import MemberState
from ospreyford.membership.service import Membership
from ospreyford.peers.node import PeerNode
from tests.membership.real_members import start_member, wait_until

DEAD = frozenset((MemberState.dead,))
LIVE = frozenset((MemberState.live,))

Fleet = list[tuple[PeerNode, Membership]]


def get_states(fleet: Fleet, name: str) -> set[MemberState | None]:
    return {membership.state_of(name) for _, membership in fleet}


def is_live(fleet: Fleet, name: str) -> bool:
    return get_states(fleet, name) == LIVE


@asynccontextmanager
async def run_members(*names: str) -> AsyncIterator[Fleet]:
    """Run members in this process until they know each other."""
    fleet: Fleet = []
    for name in names:
        seeds = (fleet[0][0].address,) if fleet else ()
        node, membership = await start_member(name, seeds)
        fleet.append((node, membership))
        await curio.spawn(membership.run, daemon=True)
    for name in names:
        await wait_until(partial(is_live, fleet, name))
    yield fleet
    for stopped, _ in fleet:
        await stopped.stop()


def test_nodes_agree_on_live_and_dead_members() -> None:
    async def main() -> None:
        async with run_members('h0', 'h1', 'h2', 'h3') as fleet:
            await wait_until(
                lambda: not any(view.is_stale() for _, view in fleet)
            )
            await fleet[3][0].stop()
            others = fleet[:3]
            await wait_until(lambda: get_states(others, 'h3') == DEAD)

    curio.run(main)


def test_paused_process_rejoins_or_detects_replacement() -> None:
    """A process resumed after SIGSTOP must rejoin, or exit if replaced."""

    async def main(process: subprocess.Popen[str], fleet: Fleet) -> None:
        await wait_until(lambda: get_states(fleet, 'h9') == LIVE)
        process.send_signal(signal.SIGSTOP)
        await wait_until(lambda: get_states(fleet, 'h9') == DEAD)
        process.send_signal(signal.SIGCONT)
        await wait_until(lambda: get_states(fleet, 'h9') == LIVE)
        process.send_signal(signal.SIGSTOP)
        seeds = (fleet[0][0].address,)
        node, membership = await start_member('h9', seeds)
        await curio.spawn(membership.run, daemon=True)
        fleet.append((node, membership))
        await wait_until(lambda: is_current(fleet, membership.me.incarnation))
        process.send_signal(signal.SIGCONT)
        await wait_until(lambda: process.poll() is not None)
        assert process.stdout
        output = process.stdout.read().split()
        assert output[-1] == membership.me.incarnation
        assert is_current(fleet, membership.me.incarnation)

    async def with_fleet() -> None:
        async with run_members('h0', 'h1', 'h2') as fleet:
            arguments = 'h9', fleet[0][0].address
            process = subprocess.Popen(
                [sys.executable, '-m', 'tests.membership.member_process']
                + list(arguments),
                stdout=subprocess.PIPE,
                text=True,
                env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
            )
            try:
                await main(process, fleet)
            finally:
                process.kill()
                process.communicate()

    curio.run(with_fleet)


def is_current(fleet: Fleet, incarnation: str) -> bool:
    found = {membership.find('h9') for _, membership in fleet}
    return {each and each.incarnation for each in found} == {incarnation}
