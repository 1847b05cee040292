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
    from ospreyford.direct.world import World
    from ospreyford.rebalance.datagrams import Address, DatagramSocket

#: Time between two greetings, in seconds.
GREETING_SECONDS = 0.5
#: The same after this entry's start, in seconds: hosts that are back together
#: must have counted each other before the group opens, 0.6 s later.
FIRST_GREETING_SECONDS = 0.1
#: Agents beside the coordinator that are greeted at once: in turn, so that each
#: of them hears of changed members from one entry or the other.
GREETED = 4
#: Without news of a coordinator for so long, in seconds, all agents are
#: greeted: whichever of them takes over must know the entries. A new one stands
#: after 0.45 s at the earliest.
NEWS_SECONDS = 0.3
#: Greetings a second of an entry that greets all agents.
GREETINGS_MOST = 500


class _Coordinator(NamedTuple):
    """Who last told of a group.

    :param address: of the agent.
    :param told_at: when, in seconds on the monotonic clock.
    """

    address: Address
    told_at: float


class _Greeting(NamedTuple):
    """When and whom this entry greeted.

    :param next_at: when it greets again, in seconds on the monotonic clock.
    :param is_narrow: whether it greeted the coordinator and a few others only.
    """

    next_at: float
    is_narrow: bool


NO_GREETING: Final = _Greeting(0, is_narrow=False)


class Greetings:
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

    def __init__(self, world: World, post: DatagramSocket) -> None:
        self._world = world
        self._post = post
        self.hellos: dict[str, Hello] = {}
        self._coordinators: dict[str, _Coordinator] = {}
        self._greetings: dict[str, _Greeting] = {}
        self._next: dict[str, int] = {}

    async def greet_due(self) -> None:
        """Greet the agents of each service whose turn it is."""
        catalog = self._world.catalog
        services = catalog.services if catalog else {}
        for name, service in services.items():
            if service.engine is not None and self._is_due(name):
                await self._greet(name, service.engine)

    def note_coordinator(self, service: str, address: Address) -> None:
        """Note which agent has just told of a group.

        :param service: the service that the group serves.
        :param address: of the agent.
        """
        self._coordinators[service] = _Coordinator(address, time.monotonic())

    def tell_silence(self, service: str) -> float:
        """Tell how long no coordinator has told of a group.

        :param service: the service that the group serves.
        :returns: seconds; infinite before the first news.
        """
        known = self._coordinators.get(service)
        return math.inf if known is None else time.monotonic() - known.told_at

    def _is_due(self, service: str) -> bool:
        now = time.monotonic()
        greeting = self._greetings.get(service, NO_GREETING)
        is_lost = greeting.is_narrow and self.tell_silence(service) > (
            NEWS_SECONDS
        )
        return is_lost or now >= greeting.next_at

    async def _greet(self, name: str, engine: Engine) -> None:
        hello = self._make_hello(name, engine)
        self.hellos[name] = hello
        short = encode(Hello(hello.entry, hello.service, hello.digest))
        is_narrow = self.tell_silence(name) <= NEWS_SECONDS
        addresses = self._list_agents(hello)
        if is_narrow:
            addresses = self._choose_some(name, addresses)
        is_new = self._world.is_new()
        pause = max(
            FIRST_GREETING_SECONDS if is_new else GREETING_SECONDS,
            len(addresses) / GREETINGS_MOST,
        )
        self._greetings[name] = _Greeting(time.monotonic() + pause, is_narrow)
        for address in addresses:
            await self._post.send_bytes(short, address)

    def _make_hello(self, service: str, engine: Engine) -> Hello:
        members = self._world.fleet.list_all(service)
        addresses = tuple(
            sorted((one.server.host, one.server.port) for one in members)
        )
        known = (addresses, engine, self._find_max_gap(service))
        digest = xxhash.xxh32_intdigest(repr(known).encode())
        return Hello(self._world.settings.name, service, digest, *known)

    def _list_agents(self, hello: Hello) -> list[Address]:
        port = self._world.settings.agent_port
        hosts = sorted({host for host, _ in hello.members or ()})
        return [(host, port) for host in hosts]

    def _choose_some(
        self, service: str, agents: list[Address]
    ) -> list[Address]:
        # All entries that start together would greet the same agents.
        most = max(len(agents), 1)
        first = self._next.get(service, self._world.random.randrange(most))
        first %= most
        self._next[service] = first + GREETED
        following = (agents + agents)[first : first + GREETED]
        return list({self._coordinators[service].address, *following})

    def _find_max_gap(self, service: str) -> float:
        catalog = self._world.catalog
        if catalog is None:
            return 0
        gaps = [
            route.max_gap
            for route in chain.from_iterable(catalog.routes.values())
            if route.max_gap > 0 and route.splits[0].service == service
        ]
        return min(gaps, default=0)
