"""What the request path costs, beside a plain relay: ``make bench``.

Run ``python -m ospreyford.measure.bench [--kinds plain,keyed,streamed]
[--seconds 3] [--idle 20]``. It starts real processes on loopback and prints
Markdown tables: throughput and processor time per request of the entry and
the agent, added latency, memory, each beside a relay of the same libraries
in the same run; then the guards' cost by themselves and the idle control
cost. Other load on the machine shows in the figures: compare the ratios.
"""

from __future__ import annotations

import os
import signal
import sys
import tempfile
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Final, NamedTuple

import fire
import msgspec
from tabulate import tabulate

from ospreyford.measure.bench_idle import measure_idle
from ospreyford.measure.bench_site import (
    KINDS,
    BenchSite,
    Kind,
    Way,
    make_plan,
)
from ospreyford.measure.guards import measure_guards
from ospreyford.measure.holds import measure_holds
from ospreyford.measure.loadgen import LoadPlan, LoadResult
from ospreyford.standins.launcher import Launcher

EXAMPLES: Final = Path(__file__).parents[3] / 'examples/pension-office'
CONNECTIONS: Final = (1, 8, 32)
LATENCY_CONNECTIONS: Final = 32
#: Requests a second, low enough that no way is saturated.
LATENCY_RATES: Final = msgspec.json.decode(
    b'{"plain": 100, "keyed": 100, "streamed": 20}'
)
WARM_SECONDS: Final = 0.5
MICROSECONDS: Final = 1_000_000
HOPS: Final = ('entry', 'agent')
ALL_KINDS: Final = tuple(KINDS)
Row = list[str | float]


class Run(NamedTuple):
    """One plan's result with the processor time per request, in µs."""

    sent: LoadResult
    cost: dict[str, float]

    @property
    def rate(self) -> float:
        """Answers a second."""
        return self.sent.answered / self.sent.seconds


class Bench:
    """Runs plans on the ways to the back ends.

    :param site: the processes.
    :param seconds: how long each plan runs.
    """

    def __init__(self, site: BenchSite, seconds: float) -> None:
        self._site = site
        self._seconds = seconds

    def compare_throughput(self, kind: Kind) -> Iterable[Row]:
        """Send as fast as answers come, at several concurrencies.

        :param kind: what to send.
        :returns: a row for each concurrency.
        """
        ways = self._site.list_ways(kind.server)
        for connections in CONNECTIONS:
            runs = {
                name: self.run(kind, way, connections)
                for name, way in ways.items()
            }
            yield _compare_runs(kind, connections, runs)

    def compare_latency(self, kind: Kind) -> Row:
        """Send at a fixed rate.

        :param kind: what to send.
        :returns: a row of the latencies.
        """
        rate = LATENCY_RATES[kind.name]
        sent = {
            name: self.run(kind, way, LATENCY_CONNECTIONS, rate).sent
            for name, way in self._site.list_ways(kind.server).items()
        }
        row: Row = [kind.name, rate]
        for percentile in ('p50', 'p99'):
            least = getattr(sent['direct'], percentile)
            added = [
                getattr(sent[name], percentile) - least
                for name in ('relay', 'ospreyford')
            ]
            row += [least, *added, _divide(added[1], added[0])]
        return row

    def run(
        self, kind: Kind, way: Way, connections: int, rate: float = 0
    ) -> Run:
        """Send on one way, after a short warming.

        :param kind: what to send.
        :param way: where.
        :param connections: how many at once.
        :param rate: requests a second; 0 is as fast as answers come.
        :returns: what came of it, and what it cost.
        """
        warm = msgspec.structs.replace(
            make_plan(kind, way.port),
            connections=connections,
            rate=rate,
            seconds=WARM_SECONDS,
        )
        self._site.send(warm)
        plan = msgspec.structs.replace(warm, seconds=self._seconds)
        return self._measure(way, plan)

    def list_memory(self) -> Iterable[Row]:
        """Read the resident memory of each hop after the load.

        :returns: a row for each hop and back end.
        """
        for server in sorted({kind.server for kind in KINDS.values()}):
            ways = self._site.list_ways(server)
            relay = ways['relay'].read_usage()
            ours = ways['ospreyford'].read_usage()
            for hop in HOPS:
                pair = (ours[hop].resident, relay[hop].resident)
                yield [server, hop, *pair, _divide(*pair)]

    def _measure(self, way: Way, plan: LoadPlan) -> Run:
        before = way.read_usage()
        sent = self._site.send(plan)
        after = way.read_usage()
        answered = max(sent.answered, 1)
        used = {
            hop: after[hop].processor_seconds - before[hop].processor_seconds
            for hop in before
        }
        return Run(
            sent,
            {
                hop: seconds * MICROSECONDS / answered
                for hop, seconds in used.items()
            },
        )


def bench(
    kinds: Sequence[str] | str = ALL_KINDS,
    seconds: float = 3,
    idle: float = 20,
) -> None:
    """Start the processes, measure and print the tables.

    :param kinds: which kinds of request, of plain, keyed and streamed.
    :param seconds: how long each plan runs.
    :param idle: how long the idle processes are watched; 0 leaves it out.
    """
    names = (kinds,) if isinstance(kinds, str) else kinds
    chosen = [KINDS[name] for name in names]
    with tempfile.TemporaryDirectory() as directory, Launcher() as launcher:
        site = BenchSite(launcher, EXAMPLES / 'documents', Path(directory))
        _print_load()
        if idle:
            _print_idle(site, idle)
        _print_requests(Bench(site, seconds), chosen)
    _print(
        'Guards by themselves, in this process',
        ('guard', 'µs'),
        measure_guards(),
    )
    _print(
        'What holds the event loop in one piece, the longest of five',
        ('what', 'µs'),
        measure_holds(),
    )
    _print_load()


def _print_idle(site: BenchSite, seconds: float) -> None:
    _print(
        f'Control cost of idle processes over {seconds:.0f} s',
        ('process', '% of a core', 'MiB', 'bytes/s on the peer port'),
        measure_idle(site.fleet.programs.values(), seconds),
    )


def _print_requests(runs: Bench, kinds: Iterable[Kind]) -> None:
    for kind in kinds:
        _print(
            f'Throughput and processor time: {kind.name}',
            (
                'connections',
                'direct /s',
                'relay /s',
                'ours /s',
                'ratio',
                'relay front µs',
                'entry µs',
                'ratio',
                'relay back µs',
                'agent µs',
                'ratio',
                'lines/s',
                'failed',
            ),
            runs.compare_throughput(kind),
        )
    _print(
        'Added latency at a fixed rate, µs',
        (
            'kind',
            'rate /s',
            'direct p50',
            'relay +p50',
            'ours +p50',
            'ratio',
            'direct p99',
            'relay +p99',
            'ours +p99',
            'ratio',
        ),
        map(runs.compare_latency, kinds),
    )
    _print(
        'Resident memory after the load',
        ('back end', 'hop', 'ours MiB', 'relay MiB', 'ratio'),
        runs.list_memory(),
    )


def _compare_runs(kind: Kind, connections: int, runs: dict[str, Run]) -> Row:
    relay = runs['relay']
    ours = runs['ospreyford']
    row: Row = [connections, runs['direct'].rate, relay.rate, ours.rate]
    row.append(_divide(ours.rate, relay.rate))
    for hop in HOPS:
        pair = (relay.cost[hop], ours.cost[hop])
        row.extend((*pair, _divide(*reversed(pair))))
    failures = [run.sent.failed for run in runs.values()]
    return [*row, ours.sent.lines / ours.sent.seconds, sum(failures)]


def _divide(dividend: float, divisor: float) -> float:
    return dividend / divisor if divisor > 0 else float('nan')


def _print_load() -> None:
    load = os.getloadavg()[0]
    cores = os.cpu_count()
    sys.stdout.write(f'load of the machine: {load:.1f} on {cores} cores\n\n')


def _print(title: str, headers: Sequence[str], rows: Iterable[Row]) -> None:
    table = tabulate(
        list(rows),
        headers=headers,
        tablefmt='github',
        floatfmt='.1f',
    )
    sys.stdout.write(f'{title}\n\n{table}\n\n')
    sys.stdout.flush()


def _stop(number: int, frame: object) -> None:
    # An exception lets the launcher end the processes.
    sys.exit(1)


def main() -> None:
    """Run the bench."""
    signal.signal(signal.SIGTERM, _stop)
    fire.Fire(bench)


if __name__ == '__main__':
    main()
