"""Several rank groups of one service, with agents and entries as processes."""

from __future__ import annotations

import itertools
import time
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

import curio

from ospreyford.http.client import ClientConnection
from ospreyford.http.message import Request
from ospreyford.platform.output import METRICS_PORT
from ospreyford.platform.standins.orders import GroupRecord
from ospreyford.platform.standins.rank import Rank
from ospreyford.platform.standins.rankgroup import GroupOptions, RankGroup
from ospreyford.platform.standins.replicas import (
    Arrival,
    Arrivals,
    ReplicaOptions,
)
from ospreyford.platform.standins.storeserver import StoreServer
from ospreyford.platform.standins.storestate import StoreState
from tests.fakes.loopback import next_address
from tests.platform.drills.day import ROUTES, STREAM_PATH, send
from tests.platform.drills.programs import Program, Site
from tests.platform.drills.terms import read_terms
from tests.platform.groupchecks import TakenTerm
from tests.platform.storefake import make_config

ENTRIES = 2
START_SECONDS = 20.0
DRAIN_MS = 2000
REVOKE_MS = 5000
OK_STATUS = 200
QUIET_SECONDS = 0.5


class Call(NamedTuple):
    """A stream as its caller saw it.

    :param at: its start, in seconds since the Unix epoch.
    :param seconds: until its end.
    :param status: HTTP status; 0 without a whole answer.
    """

    at: float
    seconds: float
    status: int


class GroupFleet:
    """Two entries and an agent beside each rank, with streams going on."""

    def __init__(self, sizes: tuple[int, ...], directory: Path) -> None:
        self.record = GroupRecord()
        self.arrivals = Arrivals()
        self.calls: list[Call] = []
        self.ranks: list[Rank] = []
        self.agents: dict[str, Program] = {}
        self.groups = [
            RankGroup(
                GroupOptions(
                    size, pass_seconds=0.04, events=20, name=f'g{number}'
                ),
                self.record,
            )
            for number, size in enumerate(sizes)
        ]
        self._directory = directory
        self._state = StoreState(generation=3)
        self._store = StoreServer(self._state)
        self._entries: list[Program] = []
        self._numbers = itertools.count()
        self._group_by_id: dict[str, str] = {}
        self._is_over = False

    async def start(self, stack: ExitStack) -> None:
        """Start all, and wait until each entry serves."""
        store = await self._store.open(next_address())
        site = Site(self._directory, store, DRAIN_MS, REVOKE_MS)
        self._state.put('op/config', make_config(3, Routes=ROUTES[:1]))
        options = ReplicaOptions('s1', back_seconds=1.0)
        for group in self.groups:
            for number in range(group.options.ranks):
                rank = Rank(number, group, options, self._state, self.arrivals)
                await rank.start(next_address())
                self.ranks.append(rank)
                host = rank.address[0]
                agent = Program(site, 'agent', host, rank.address)
                self.agents[host] = stack.enter_context(agent)
        for _ in range(ENTRIES):
            entry = Program(site, 'entry', next_address())
            self._entries.append(stack.enter_context(entry))
        until = time.monotonic() + START_SECONDS
        for number in range(ENTRIES):
            while await self._call(number) != OK_STATUS:
                assert time.monotonic() < until, 'entries did not start'
                await curio.sleep(0.1)
        self.calls.clear()

    def list_reached(self, since: float) -> set[str]:
        """List the groups in which streams began since a time."""
        return self._list_groups(self.arrivals.runs, since)

    def list_tried(self, since: float) -> set[str]:
        """List the groups whose ranks were sent streams since a time."""
        return self._list_groups(self.arrivals.requests, since)

    def list_terms(self) -> list[TakenTerm]:
        """List the terms that agents have taken, by time."""
        terms = [
            term for agent in self.agents.values() for term in read_terms(agent)
        ]
        return sorted(terms)

    def find_coordinator(self, group: RankGroup) -> TakenTerm:
        """Find the newest term of a group."""
        hosts = {one.address[0] for one in group.members}
        return [one for one in self.list_terms() if one.host in hosts][-1]

    async def read_figures(self) -> dict[str, float]:
        """Read the counters of all agents that run, summed over them."""
        sums: dict[str, float] = {}
        for host, agent in self.agents.items():
            if agent.is_running:
                for name, amount in await read_counters(host):
                    sums[name] = sums.get(name, 0) + amount
        return sums

    async def run(
        self, interval: float, scenario: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a scenario while streams begin at each entry."""
        try:
            with ExitStack() as stack:
                await self.start(stack)
                for entry in range(ENTRIES):
                    await curio.spawn(
                        self._call_often, entry, interval, daemon=True
                    )
                await scenario()
        finally:
            self._is_over = True
            # The kernel does not end while tasks start others.
            await curio.sleep(QUIET_SECONDS)

    def _list_groups(self, arrivals: list[Arrival], since: float) -> set[str]:
        self._note_ids()
        return {
            self._group_by_id[one.replica]
            for one in arrivals
            if one.at >= since
        }

    async def _call_often(self, entry: int, interval: float) -> None:
        while not self._is_over:
            await curio.spawn(self._call, entry, daemon=True)
            await curio.sleep(interval)

    async def _call(self, entry: int) -> int:
        self._note_ids()
        began = time.time()
        number = next(self._numbers)
        status, _ = await send(
            self._entries[entry].front,
            STREAM_PATH,
            b'own %d' % number,
            f'{entry}.k1.{number}',
            'k1',
        )
        self.calls.append(Call(began, time.time() - began, status))
        return status

    def _note_ids(self) -> None:
        for rank in self.ranks:
            self._group_by_id[rank.id] = rank.group.options.name


async def read_counters(host: str) -> list[tuple[str, float]]:
    """Read the counters of an agent, with their labels in the names."""
    async with curio.timeout_after(2):
        connection = await ClientConnection.open(host, METRICS_PORT, 1)
        headers = ((b'host', host.encode()),)
        await connection.send(Request('GET', '/', headers), b'')
        await connection.read_head()
        text = (await connection.read_body()).decode()
        await connection.close()
    lines = (line.rpartition(' ') for line in text.splitlines())
    return [
        (name, float(amount))
        for name, _, amount in lines
        if '_total' in name and not name.startswith('#')
    ]
