"""One rank-group member as a process that proposes new maps continuously."""

from __future__ import annotations

from dataclasses import dataclass

import curio

from ospreyford.expertmap.engine import HttpEngine
from ospreyford.expertmap.maps import ExpertMap
from ospreyford.expertmap.service import RankService
from ospreyford.expertmap.settings import RankSettings
from ospreyford.peers.node import PeerNode
from ospreyford.peers.settings import PeerSettings
from ospreyford.ports.clock import SystemClock
from ospreyford.standins.process import LOOPBACK, announce, read_options

PROPOSAL_INTERVAL_SECONDS = 0.7


@dataclass(frozen=True)
class RankOptions:
    """``ports`` are the members' peer ports, separated by ``-``."""

    slot: int
    ports: str
    engine_port: int
    window_steps: int = 64


async def run(options: RankOptions) -> None:
    """Run the member until the process exits."""
    ports = options.ports.split('-')
    addresses = tuple(f'{LOOPBACK}:{port}' for port in ports)
    clock = SystemClock()
    peers = PeerNode(
        PeerSettings(address=addresses[options.slot]),
        f'{options.slot}-{clock.wall()}',
    )
    await peers.start()
    service = RankService(
        RankSettings(
            group='test',
            slot=options.slot,
            addresses=addresses,
            window_steps=options.window_steps,
            lead_steps=options.window_steps,
            poll_seconds=0.05,
            install_seconds=0.05,
        ),
        peers,
        clock,
        HttpEngine((LOOPBACK, options.engine_port), options.slot),
    )
    await curio.spawn(service.run(), daemon=True)
    announce(port=int(ports[options.slot]))
    while True:
        tenths = int(clock.wall() * 10)
        layers = (((tenths % 3,), (options.slot,)),)
        service.propose(ExpertMap(revision=tenths, layers=layers))
        await curio.sleep(PROPOSAL_INTERVAL_SECONDS)


if __name__ == '__main__':
    curio.run(run(read_options(RankOptions)))
