"""Distributor process for ``test_processes``.

Arguments: seed, peer port, comma-separated ports of all, the service's port.
Prints ``name revision text`` for each change, ``ready`` after the bootstrap,
and ``stale`` or ``checked`` on each transition.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from random import Random

import curio

from ospreyford.distribution.bootstrap import Ready
from ospreyford.distribution.client import ServiceClient
from ospreyford.distribution.distributor import Distributor
from ospreyford.distribution.entries import Entry
from ospreyford.distribution.service import DocumentSource
from ospreyford.distribution.settings import DistributionSettings
from ospreyford.peers.node import PeerNode
from ospreyford.peers.settings import PeerSettings
from ospreyford.ports.clock import SystemClock
from tests.distribution.world import FakeMember, is_well_formed

LOOPBACK = '127.0.0.1'
SETTINGS = DistributionSettings(
    fleet_size=20,
    service_calls_per_second=20,
    watch_seconds=1,
    digest_seconds=0.2,
    gossip_seconds=0.05,
    bootstrap_seconds=0.1,
    cold_start_rounds=3,
    cold_start_peers=2,
    stale_seconds=2,
)


class Fleet:
    def __init__(self, ports: Sequence[str]) -> None:
        self._members = [
            FakeMember(f'host-{port}', f'{LOOPBACK}:{port}', 'zone')
            for port in ports
        ]

    def members(self) -> Sequence[FakeMember]:
        return self._members

    def find(self, port: str) -> FakeMember:
        return next(
            one
            for one in self._members
            if one.peer_address.endswith(f':{port}')
        )


def print_entries(changed: tuple[Entry, ...]) -> None:
    for one in changed:
        print(one.name, one.revision, one.text.decode(), flush=True)


async def main(seed: str, port: str, ports: str, service: str) -> None:
    fleet = Fleet(ports.split(','))
    me = fleet.find(port)
    node = PeerNode(PeerSettings(address=me.peer_address), f'{seed}-{port}')
    distributor = Distributor(
        SETTINGS,
        me,
        DocumentSource(ServiceClient(LOOPBACK, int(service)), is_well_formed),
        node,
        fleet,
        SystemClock(),
        Random(int(seed)),
    )
    distributor.subscribe(print_entries)
    await node.start()
    await curio.spawn(distributor.run_gossip())
    await curio.spawn(distributor.run_reader())
    while not isinstance(await distributor.bootstrap(), Ready):
        print('waiting', flush=True)
    print('ready', flush=True)
    stale = distributor.is_stale()
    while True:
        await curio.sleep(0.02)
        if distributor.is_stale() != stale:
            stale = not stale
            print('stale' if stale else 'checked', flush=True)


if __name__ == '__main__':
    curio.run(main(*sys.argv[1:]))
