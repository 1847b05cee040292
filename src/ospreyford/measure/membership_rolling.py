"""How fast a rolling replacement reaches every view, and at what cost.

A model at the interfaces: the code that runs, on a fake network and in fake
time, seeded; the same figures at every run. Hosts are replaced one after the
other: each announces its planned stop and ends, and another instance of the
same name starts at another address. Run
``python -m ospreyford.measure.membership_rolling``.
"""

from __future__ import annotations

import sys
from collections.abc import Coroutine
from multiprocessing import get_context
from random import Random
from typing import Any, Final, NamedTuple

from tabulate import tabulate

from ospreyford.measure.fleet import Kernel, Network, Port
from ospreyford.membership.member import Member, generate_incarnation
from ospreyford.membership.service import Membership
from ospreyford.membership.settings import MembershipSettings
from ospreyford.ports.fleet import Host

MEMBERS: Final = 120
ZONES: Final = 6
SEED: Final = 1
#: Until a fresh fleet has passed on all that it learned at its start.
WARM_SECONDS: Final = 420
RAMP_SECONDS: Final = 30
WATCH_SECONDS: Final = 90
LOOK_SECONDS: Final = 5
#: From the announcement of a stop to the end, and to the next start.
STOP_SECONDS: Final = 1
START_SECONDS: Final = 2
RATES: Final = (0.2, 1)
CHANGE_BYTES: Final = (160, 480)
WORKERS: Final = 4
NETWORK: Final = 250
PERCENT: Final = 100


class Plan(NamedTuple):
    """One run.

    :param change_bytes: the setting of that name.
    :param rate: hosts replaced a second.
    """

    change_bytes: int
    rate: float


class Outcome(NamedTuple):
    """What one run gave.

    :param lag: mean seconds from a start until a view has it.
    :param unknown: share of pairs of a view and a member that were not
        known as they are, in percent.
    :param bytes_a_second: sent and received by a member, in the mean.
    :param rest: the same before anything was replaced.
    """

    lag: float
    unknown: float
    bytes_a_second: float
    rest: float


class Ended(Exception):
    """The process has ended; whatever it runs stops here."""


class EndingPort(Port):
    """A port whose process can end."""

    is_ended = False

    async def ask(
        self, address: str, topic: str, body: bytes, timeout: float
    ) -> bytes | None:
        """Ask a peer in fake time.

        :param address: the peer.
        :param topic: its handler.
        :param body: the question.
        :param timeout: seconds.
        :returns: the answer, ``None`` on silence.
        :raises Ended: this process has ended meanwhile.
        """
        answer = await super().ask(address, topic, body, timeout)
        if self.is_ended:
            raise Ended
        return answer


class Process(NamedTuple):
    """A running member."""

    membership: Membership
    port: EndingPort


class RollingFleet:
    """A fleet whose members are replaced one after the other.

    :param settings: the settings of all.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self.kernel = Kernel()
        self.network = Network(self.kernel, Random(SEED))
        self._settings = settings
        self._rng = Random(SEED)
        self._hosts = [_make_host(number, 1) for number in range(MEMBERS)]
        self.processes: list[Process] = []
        for number in range(MEMBERS):
            self.processes.append(self._start(number))

    async def roll(self, rate: float) -> None:
        """Replace one host after the other, without end.

        :param rate: hosts a second.
        """
        replaced = 0
        while True:
            life, number = divmod(replaced, MEMBERS)
            self.kernel.spawn(self._replace(number, life + 2))
            replaced += 1
            await self.kernel.sleep(1 / rate)

    def count_unknown(self) -> int:
        """Count what views lack.

        :returns: pairs of a view and a member that it knows otherwise.
        """
        truth = [process.membership.me for process in self.processes]
        return sum(
            process.membership.find(member.name) != member
            for process in self.processes
            for member in truth
        )

    async def _replace(self, number: int, life: int) -> None:
        old = self.processes[number]
        self.kernel.spawn(_until_ended(old.membership.leave()))
        await self.kernel.sleep(STOP_SECONDS)
        old.port.is_ended = True
        self.network.silent.add(old.membership.me.peer_address)
        await self.kernel.sleep(START_SECONDS)
        self._hosts[number] = _make_host(number, life)
        self.processes[number] = self._start(number)

    def _start(self, number: int) -> Process:
        host = self._hosts[number]
        port = EndingPort(self.network, host.peer_address)
        incarnation = generate_incarnation(self.kernel, self._rng)
        membership = Membership(
            self._settings,
            Member(*host[:8], incarnation=incarnation),
            port,
            self.kernel,
            Random(self._rng.random()),
        )
        membership.handle_hosts(self._hosts)
        self.kernel.spawn(_until_ended(membership.run()))
        return Process(membership, port)


async def _until_ended(task: Coroutine[Any, Any, object]) -> None:
    try:
        await task
    except Ended:
        return


def measure(plan: Plan) -> Outcome:
    """Run a fleet.

    :param plan: what to run.
    :returns: what it gave.
    """
    fleet = RollingFleet(MembershipSettings(change_bytes=plan.change_bytes))
    kernel = fleet.kernel
    kernel.run_until(WARM_SECONDS)
    rest = _watch(fleet, RAMP_SECONDS)[1]
    kernel.spawn(fleet.roll(plan.rate))
    _watch(fleet, RAMP_SECONDS)
    unknown, used = _watch(fleet, WATCH_SECONDS)
    # Members that are replaced stay unknown for their lag: the pairs unknown
    # at a moment are those replaced a second, times the lag.
    lag = unknown / MEMBERS / plan.rate
    return Outcome(lag, unknown / MEMBERS**2 * PERCENT, used, rest)


def _watch(fleet: RollingFleet, seconds: int) -> tuple[float, float]:
    fleet.network.sent.clear()
    until = fleet.kernel.now + seconds
    counts: list[int] = []
    while fleet.kernel.now < until:
        fleet.kernel.run_until(fleet.kernel.now + LOOK_SECONDS)
        counts.append(fleet.count_unknown())
    sent = fleet.network.sent.total() / MEMBERS / seconds
    return sum(counts) / len(counts), 2 * sent


def _make_host(number: int, life: int) -> Host:
    zone = number % ZONES
    padded = str(number).zfill(5)
    high, low = divmod(number, NETWORK)
    address = f'10.{life}.{high}.{low}'
    return Host(
        name=f'host-{padded}',
        instance=f'i-{padded}-{life}',
        role='backend',
        zone=f'zone-{zone}',
        region='region-1',
        service='drafting',
        data_address=f'{address}:7000',
        peer_address=f'{address}:7001',
    )


def _tell(plans: list[Plan], outcomes: list[Outcome]) -> str:
    headers = [
        'change_bytes',
        'hosts/s',
        'lag, s',
        'not known, %',
        'bytes/s each',
        'bytes/s at rest',
    ]
    rows = [
        (*plan, *outcome) for plan, outcome in zip(plans, outcomes, strict=True)
    ]
    return tabulate(rows, headers, tablefmt='github', floatfmt='.1f')


def main() -> None:
    """Print the table."""
    plans = [Plan(size, rate) for rate in RATES for size in CHANGE_BYTES]
    with get_context('spawn').Pool(WORKERS) as pool:
        outcomes = pool.map(measure, plans, 1)
    table = _tell(plans, outcomes)
    sys.stdout.write(f'{table}\n')


if __name__ == '__main__':
    main()
