"""Hello messages to the agents of model services."""

from __future__ import annotations

import math
import time
from itertools import chain
from typing import TYPE_CHECKING, Final, NamedTuple

import xxhash

from ospreyford.direct.freshness import read_boot_clock
from ospreyford.rebalance.entrymessages import Hello
from ospreyford.rebalance.messages import encode

if TYPE_CHECKING:
    from ospreyford.direct.catalog import Engine
    from ospreyford.direct.context import EntryContext
    from ospreyford.rebalance.datagrams import Address, DatagramSocket
    from ospreyford.suspects.messages import SuspectReport

MS_PER_SECOND = 1000
#: Interval between hellos.
HELLO_INTERVAL_SECONDS = 0.5
#: The same after the start: entries that return together must have counted each
#: other before the group opens 0.6 s later.
STARTUP_HELLO_INTERVAL_SECONDS = 0.1
#: Agents, besides the coordinator, that receive each hello in rotation.
HELLO_FANOUT = 4
#: Silence of the coordinator after which hellos go to all agents: any of them
#: may be elected, after 0.45 s at the earliest, and must know the entries.
COORDINATOR_TIMEOUT_SECONDS = 0.3
#: Rate limit of an entry that sends hellos to all agents.
MAX_HELLOS_PER_SECOND = 500


class _Coordinator(NamedTuple):
    """The agent that last reported on a group.

    :param address: the agent's address.
    :param reported_at: time of the report, in seconds on the monotonic clock.
    """

    address: Address
    reported_at: float


class _HelloSchedule(NamedTuple):
    """Schedule of the hellos of one service.

    :param next_at: time of the next hello, in seconds on the monotonic clock.
    :param is_partial: whether the last one went to the coordinator and a few
        others only.
    :param restores: restores of the store that the last one told of.
    """

    next_at: float
    is_partial: bool
    restores: int = 0


NO_HELLO: Final = _HelloSchedule(0, is_partial=False)


class HelloSender:
    """Sends hellos to the agents of all model services.

    Agents learn the members of their group from hellos; an agent with another
    digest requests the full list. While a coordinator reports, hellos go to it
    and a few agents in rotation: sent by every entry to every agent, they would
    grow with the product of both.

    ``hellos`` holds the last hello with the full member list, by service.

    :param context: shared state of the entry.
    :param transport: the process's datagram socket.
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
        """Send the hellos that are due."""
        catalog = self._context.catalog
        services = catalog.services if catalog else {}
        for name, service in services.items():
            if service.engine is not None and self._is_due(name):
                await self._send_hello(name, service.engine)

    async def send_suspects(self, report: SuspectReport) -> None:
        """Tell agents of suspected requests; they pass on what is new.

        :param report: what has changed.
        """
        encoded = encode(report)
        for name, hello in self.hellos.items():
            addresses = self._list_agents(hello)
            if name in self._coordinators:
                addresses = self._select_agents(name, addresses)
            for address in addresses[: HELLO_FANOUT + 1]:
                await self._transport.send_bytes(encoded, address)

    def list_agents(self) -> set[Address]:
        """List the agents of all model services.

        :returns: their addresses.
        """
        port = self._context.settings.agent_port
        hosts = {
            host
            for hello in self.hellos.values()
            for host, _ in hello.members or ()
        }
        return {(host, port) for host in hosts}

    def record_coordinator(self, service: str, address: Address) -> None:
        """Record the agent that reported on a group.

        :param service: service of the group.
        :param address: the agent's address.
        """
        self._coordinators[service] = _Coordinator(address, time.monotonic())

    def compute_silence(self, service: str) -> float:
        """Compute the time since the last report on a group.

        :param service: service of the group.
        :returns: seconds; infinite before the first report.
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
        # An entry that starts now must hear of a restore.
        is_news = schedule.restores != self._context.store_restores
        return is_lost or is_news or now >= schedule.next_at

    async def _send_hello(self, name: str, engine: Engine) -> None:
        hello = self._make_hello(name, engine)
        self.hellos[name] = hello
        encoded = encode(
            Hello(
                hello.entry,
                hello.service,
                hello.digest,
                version=hello.version,
                settling_ms=hello.settling_ms,
                suspects=hello.suspects,
            )
        )
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
            time.monotonic() + interval,
            is_partial,
            self._context.store_restores,
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
        settling_seconds = self._context.key_guard.compute_wait(
            read_boot_clock()
        )
        return Hello(
            self._context.settings.name,
            service,
            digest,
            *contents,
            version=self._context.get_version(),
            settling_ms=int(settling_seconds * MS_PER_SECOND),
            suspects=self._context.suspect_sharing.compute_digest(),
        )

    def _list_agents(self, hello: Hello) -> list[Address]:
        port = self._context.settings.agent_port
        hosts = sorted({host for host, _ in hello.members or ()})
        return [(host, port) for host in hosts]

    def _select_agents(
        self, service: str, agents: list[Address]
    ) -> list[Address]:
        # A random start keeps entries from picking the same agents.
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
