"""Entries in front of the stand-in store and replicas, with an agent."""

from __future__ import annotations

import itertools
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

import curio
import msgspec

from ospreyford.direct.context import EntryContext
from ospreyford.direct.program import EntryServer, Listeners
from ospreyford.direct.settings import Bounds
from ospreyford.http.client import ClientConnection
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request, find_header
from ospreyford.http.server import listen, port_of
from ospreyford.platform.feed import StoreFeed
from ospreyford.platform.headernames import HEADER_NAMES
from ospreyford.platform.standins.plainreplica import PlainReplica
from ospreyford.platform.standins.rank import Rank
from ospreyford.platform.standins.rankgroup import GroupOptions, RankGroup
from ospreyford.platform.standins.replicas import (
    Arrivals,
    ReplicaOptions,
)
from ospreyford.platform.standins.storeserver import StoreServer
from ospreyford.platform.standins.storestate import StoreState
from ospreyford.platform.store import StoreClient
from ospreyford.rebalance.datagrams import DatagramSocket
from ospreyford.rebalance.entrymessages import Hello
from ospreyford.rebalance.entryregistry import EntryRegistry
from ospreyford.rebalance.settings import AgentSettings
from ospreyford.rebalance.suspectrelay import SuspectRelay
from ospreyford.sendgrants.messages import SendingRequest
from ospreyford.suspects.messages import SuspectReport
from tests.direct.backends import SETTINGS, RecordingLog
from tests.direct.test_program import FakeStop
from tests.fakes.loopback import next_address
from tests.platform.storefake import make_config

#: Plain service of the stand-in configuration.
SERVICE = 's2'
PATH = '/a/b/x'
#: Service of a rank group.
GROUP_SERVICE = 's1'
STREAM_PATH = '/a/s/x'
DRAIN_SECONDS = 2.0
STABLE_SECONDS = 3.0
BOUNDS = Bounds(DRAIN_SECONDS, 8, 5)
#: Port of the rank beside the agent.
RANK_PORT = 9000
#: Status recorded for a request without an answer.
NO_ANSWER = 0


class Reply(NamedTuple):
    """What a caller got.

    :param status: HTTP status, or ``NO_ANSWER``.
    :param body: the body.
    :param retry_after: value of the ``Retry-After`` field.
    """

    status: int
    body: bytes = b''
    retry_after: bytes | None = None


class AgentStandIn:
    """An agent's part in what entries tell each other."""

    def __init__(self, host: str, port: int) -> None:
        self.socket = DatagramSocket((host, port))
        settings = AgentSettings(
            name=host,
            zone='a',
            region='r',
            backend=(host, RANK_PORT),
            datagrams=(host, port),
            metrics_port=0,
            grace_seconds=8,
        )
        self.entries = EntryRegistry(settings, self.socket)
        self.relay = SuspectRelay(self.entries, self.socket)

    async def run(self) -> None:
        await self.socket.receive(self._handle)

    async def _handle(self, message: Any, address: Any) -> None:
        match message:
            case Hello():
                await self.entries.handle_hello(message, address, None)
                await self.relay.handle_hello(message, address)
            case SuspectReport():
                await self.relay.handle_report(message, address)
            case SendingRequest():
                await self.entries.rates.handle_request(message, address)


class FleetEntry:
    """A complete entry with its store feed."""

    def __init__(self, store: tuple[str, int], agent_port: int) -> None:
        host = next_address()
        front, ready = listen(host, 0), listen(host, 0)
        self.front = (host, port_of(front))
        self.log = RecordingLog()
        settings = SETTINGS._replace(
            name=host,
            front=self.front,
            bounds=BOUNDS,
            datagrams=(host, agent_port),
            agent_port=agent_port,
        )
        self.context = EntryContext(settings, HEADER_NAMES, self.log)  # type: ignore[arg-type]
        self.server = EntryServer(
            self.context,
            FakeStop(),  # type: ignore[arg-type]
            Listeners(front, ready),
        )
        self.feed = StoreFeed(
            StoreClient(store), self.server.updater, self.context
        )
        self._task: curio.Task | None = None

    async def start(self) -> None:
        self._task = await curio.spawn(
            self.server.run, self.feed.run, daemon=True
        )

    async def stop(self) -> None:
        """End at once, as a killed process does."""
        if self._task is not None:
            await self._task.cancel()

    async def ask(
        self,
        body: bytes,
        request_id: str,
        key: bytes = b'k1',
        path: str = PATH,
        prompt: bytes | None = None,
    ) -> Reply:
        parts = () if prompt is None else ((HEADER_NAMES.prompt_parts, prompt),)
        request = Request(
            'POST',
            path,
            (
                (b'host', b'host.example'),
                (HEADER_NAMES.request_id, request_id.encode()),
                (HEADER_NAMES.key, key),
                (HEADER_NAMES.deadline, b'2000'),
                *parts,
            ),
        )
        try:
            connection = await ClientConnection.open(*self.front, 1)
        except HttpError:
            return Reply(NO_ANSWER)
        try:
            await connection.send(request, body)
            head = await connection.read_head()
            content = await connection.read_body()
        except HttpError:
            return Reply(NO_ANSWER)
        finally:
            await connection.close()
        return Reply(
            head.status, content, find_header(head.headers, b'retry-after')
        )


class Fleet:
    """Entries, one agent, a store and plain replicas on loopback."""

    def __init__(
        self, route_type: str = 'idempotent', *, has_agent: bool = True
    ) -> None:
        self.state = StoreState(generation=3)
        self.store = StoreServer(self.state)
        self.arrivals = Arrivals()
        self.replicas: list[PlainReplica] = []
        self.ranks: list[Rank] = []
        self.entries: list[FleetEntry] = []
        self.group: RankGroup | None = None
        #: More fields of the plain service's configuration.
        self.service_fields: dict[str, Any] = {}
        self._ids = itertools.count()
        self._route_type = route_type
        self._has_agent = has_agent
        self._store_address = ('', 0)
        self._agent_port = 0

    async def start(
        self,
        entries: int,
        replicas: int,
        options: ReplicaOptions,
        zones: Sequence[str] = ('a',),
    ) -> None:
        self._store_address = await self.store.open(next_address())
        agent = await self._start_agent()
        self.state.put('op/config', self.make_config(3))
        # The model service only makes the agent known.
        self.state.put('servers/rank', _make_rank(agent))
        for number in range(replicas):
            placed = options._replace(zone=zones[number % len(zones)])
            replica = PlainReplica(placed, self.state, self.arrivals)
            await replica.start(next_address())
            self.replicas.append(replica)
        for _ in range(entries):
            await self.add_entry()
        await curio.sleep(0.5)

    async def start_group(
        self,
        entries: int,
        group: GroupOptions,
        options: ReplicaOptions,
        zones: Sequence[str] = ('a',),
    ) -> None:
        """Start entries in front of a rank group, with an agent at its first.

        :param entries: number of entries.
        :param group: how the group behaves.
        :param options: how each rank behaves.
        :param zones: availability zones of the ranks, in turn.
        """
        self._store_address = await self.store.open(next_address())
        host = await self._start_agent()
        self.state.put('op/config', self.make_config(3))
        self.group = RankGroup(group)
        for number in range(group.ranks):
            placed = options._replace(zone=zones[number % len(zones)])
            rank = Rank(number, self.group, placed, self.state, self.arrivals)
            self.ranks.append(rank)
            await rank.start(next_address() if number else host)
        for _ in range(entries):
            await self.add_entry()
        await curio.sleep(0.5)

    async def restart_entry(self, number: int) -> None:
        """Replace an entry by one that knows nothing yet.

        :param number: of the entry.
        """
        await self.entries[number].stop()
        entry = await self.add_entry()
        self.entries.remove(entry)
        self.entries[number] = entry

    async def add_entry(self) -> FleetEntry:
        entry = FleetEntry(self._store_address, self._agent_port)
        await entry.start()
        self.entries.append(entry)
        return entry

    def make_config(self, version: int, **other: Any) -> bytes:
        route = {
            'Name': 'r2',
            'Host': 'host.example',
            'Prefix': '/a/b/',
            'RouteType': self._route_type,
            'TimeoutMs': 1500,
            'TargetLatencyMs': 300,
            'MaxAttempts': 2,
            'Service': SERVICE,
        }
        streams = {
            **route,
            'Name': 'streams',
            'Prefix': '/a/s/',
            'RouteType': 'streaming',
            'TimeoutMs': 2000,
            'TargetGapMs': 120,
            'CanResume': True,
            'Service': GROUP_SERVICE,
        }
        config = msgspec.json.decode(
            make_config(version, Routes=[route, streams], **other)
        )
        for service in config['Services']:
            if service['Name'] == SERVICE:
                service.update(self.service_fields)
        return msgspec.json.encode(config)

    async def ask_in_turn(
        self, body: bytes, count: int, interval: float
    ) -> list[tuple[float, Reply]]:
        """Send a request again and again, to the entries in turn."""
        replies = []
        for number in range(count):
            entry = self.entries[number % len(self.entries)]
            reply = await entry.ask(body, f'id-{next(self._ids)}')
            replies.append((time.monotonic(), reply))
            await curio.sleep(interval)
        return replies

    async def _start_agent(self) -> str:
        host = next_address()
        probe = DatagramSocket((host, 0))
        # The agents' port must be free on all hosts; each has its own address.
        self._agent_port = probe._socket.getsockname()[1]  # noqa: SLF001
        await probe._socket.close()  # noqa: SLF001
        if self._has_agent:
            agent = AgentStandIn(host, self._agent_port)
            await curio.spawn(agent.run, daemon=True)
        return host


def _make_rank(host: str) -> bytes:
    registration = {
        'Service': 's1',
        'Address': f'{host}:{RANK_PORT}',
        'Zone': 'a',
        'Slots': 6,
        'State': 'ready',
    }
    return msgspec.json.encode(registration)
