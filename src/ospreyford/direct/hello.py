"""Whom an entry greets of the agents beside back ends, and how often."""

from __future__ import annotations

import math
import time
from itertools import chain
from typing import TYPE_CHECKING, Final, NamedTuple

import xxhash

from ospreyford.rebalance.entrymessages import Hello
from ospreyford.rebalance.messages import encode

if TYPE_CHECKING:
    from ospreyford.direct.catalog import Engine
    from ospreyford.direct.context import EntryContext
    from ospreyford.rebalance.datagrams import Address, DatagramSocket

#: Time between two greetings, in seconds.
HELLO_INTERVAL_SECONDS = 0.5
#: The same after this entry's start, in seconds: hosts that are back together
#: must have counted each other before the group opens, 0.6 s later.
STARTUP_HELLO_INTERVAL_SECONDS = 0.1
#: Agents beside the coordinator that are greeted at once: in turn, so that each
#: of them hears of changed members from one entry or the other.
HELLO_FANOUT = 4
#: Without news of a coordinator for so long, in seconds, all agents are
#: greeted: whichever of them takes over must know the entries. A new one stands
#: after 0.45 s at the earliest.
COORDINATOR_TIMEOUT_SECONDS = 0.3
#: Greetings a second of an entry that greets all agents.
MAX_HELLOS_PER_SECOND = 500


class _Coordinator(NamedTuple):
    """Who last told of a group.

    :param address: of the agent.
    :param told_at: when, in seconds on the monotonic clock.
    """

    address: Address
    reported_at: float


class _HelloSchedule(NamedTuple):
    """When and whom this entry greeted.

    :param next_at: when it greets again, in seconds on the monotonic clock.
    :param is_narrow: whether it greeted the coordinator and a few others only.
    """

    next_at: float
    is_partial: bool


NO_HELLO: Final = _HelloSchedule(0, is_partial=False)


class HelloSender:
    """Greets the agents of all model services.

    Agents read nothing from the platform: which other agents there are they
    learn from the entries. An agent that knows another list asks for it.

    Load pattern: 35 entries and 129 agents. Had each entry greeted each agent
    twice a second, that would be 9,000 messages a second, and as many answers.
    While a coordinator tells of its group, an entry greets that one and a few
    others in turn.

    :param world: what the entry knows.
    :param post: the process's datagrams.

    ``hellos`` are the last greetings with all members, by service.
    """

    def __init__(
        self, context: EntryContext, transport: DatagramSocket
    ) -> None:
        self._context = context
        self._transport = transport
        self.hellos: dict[str, Hello] = {}
        self._coordinators: dict[str, _Coordinator] = {}
        self._schedules: dict[str, _HelloSchedule] = {}
        self._next_agent: dict[str, int] = {}

    async def send_due(self) -> None:
        """Greet the agents of each service whose turn it is."""
        catalog = self._context.catalog
        services = catalog.services if catalog else {}
        for name, service in services.items():
            if service.engine is not None and self._is_due(name):
                await self._send_hello(name, service.engine)

    def record_coordinator(self, service: str, address: Address) -> None:
        """Note which agent has just told of a group.

        :param service: the service that the group serves.
        :param address: of the agent.
        """
        self._coordinators[service] = _Coordinator(address, time.monotonic())

    def compute_silence(self, service: str) -> float:
        """Tell how long no coordinator has told of a group.

        :param service: the service that the group serves.
        :returns: seconds; infinite before the first news.
        """
        known = self._coordinators.get(service)
        return (
            math.inf if known is None else time.monotonic() - known.reported_at
        )

    def _is_due(self, service: str) -> bool:
        now = time.monotonic()
        schedule = self._schedules.get(service, NO_HELLO)
        is_lost = schedule.is_partial and self.compute_silence(service) > (
            COORDINATOR_TIMEOUT_SECONDS
        )
        return is_lost or now >= schedule.next_at

    async def _send_hello(self, name: str, engine: Engine) -> None:
        hello = self._make_hello(name, engine)
        self.hellos[name] = hello
        encoded = encode(Hello(hello.entry, hello.service, hello.digest))
        is_partial = self.compute_silence(name) <= COORDINATOR_TIMEOUT_SECONDS
        addresses = self._list_agents(hello)
        if is_partial:
            addresses = self._select_agents(name, addresses)
        is_new = self._context.is_starting()
        interval = max(
            STARTUP_HELLO_INTERVAL_SECONDS
            if is_new
            else HELLO_INTERVAL_SECONDS,
            len(addresses) / MAX_HELLOS_PER_SECOND,
        )
        self._schedules[name] = _HelloSchedule(
            time.monotonic() + interval, is_partial
        )
        for address in addresses:
            await self._transport.send_bytes(encoded, address)

    def _make_hello(self, service: str, engine: Engine) -> Hello:
        backends = self._context.backends.list_all(service)
        addresses = tuple(
            sorted((one.server.host, one.server.port) for one in backends)
        )
        contents = (addresses, engine, self._find_max_gap(service))
        digest = xxhash.xxh32_intdigest(repr(contents).encode())
        return Hello(self._context.settings.name, service, digest, *contents)

    def _list_agents(self, hello: Hello) -> list[Address]:
        port = self._context.settings.agent_port
        hosts = sorted({host for host, _ in hello.members or ()})
        return [(host, port) for host in hosts]

    def _select_agents(
        self, service: str, agents: list[Address]
    ) -> list[Address]:
        # All entries that start together would greet the same agents.
        count = max(len(agents), 1)
        first = self._next_agent.get(
            service, self._context.random.randrange(count)
        )
        first %= count
        self._next_agent[service] = first + HELLO_FANOUT
        following = (agents + agents)[first : first + HELLO_FANOUT]
        return list({self._coordinators[service].address, *following})

    def _find_max_gap(self, service: str) -> float:
        catalog = self._context.catalog
        if catalog is None:
            return 0
        gaps = [
            route.max_gap
            for route in chain.from_iterable(catalog.routes.values())
            if route.max_gap > 0 and route.splits[0].service == service
        ]
        return min(gaps, default=0)
