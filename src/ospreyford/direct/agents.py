"""What an entry tells the agents beside back ends, and learns from them."""

from __future__ import annotations

import time
from itertools import chain
from typing import TYPE_CHECKING

import curio
import xxhash

from ospreyford.direct.admission import GroupLoad
from ospreyford.rebalance.messages import (
    GroupNews,
    Hello,
    Load,
    Message,
    encode,
)
from ospreyford.rebalance.post import Post

if TYPE_CHECKING:
    from ospreyford.direct.catalog import Catalog, Engine
    from ospreyford.direct.world import World
    from ospreyford.rebalance.post import Address

#: Time between two greetings of one agent, in seconds.
GREETING_SECONDS = 0.5
#: The same after this entry's start, in seconds: hosts that are back together
#: must have counted each other before the group opens, 0.6 s later.
FIRST_GREETING_SECONDS = 0.1


class AgentLink:
    """Greets the agents of all model services and takes their answers.

    Agents read nothing from the platform: which other agents there are they
    learn from the entries. An agent that shows another digest than the
    entry's is told the whole list.

    :param world: what the entry knows.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._post = Post(world.settings.datagrams)
        self._digests: dict[Address, int] = {}
        self._tokens: dict[str, int] = {}

    async def run(self) -> None:
        """Listen for as long as the process lives."""
        await self._post.receive(self._take)

    async def greet_often(self) -> None:
        """Greet for as long as the process lives."""
        while True:
            if self._world.catalog is not None:
                await self._greet_all(self._world.catalog)
            is_new = self._world.is_new()
            await curio.sleep(
                FIRST_GREETING_SECONDS if is_new else GREETING_SECONDS
            )

    async def _greet_all(self, catalog: Catalog) -> None:
        for name, service in catalog.services.items():
            if service.engine is not None:
                await self._greet(self._make_hello(name, service.engine))

    def _make_hello(self, service: str, engine: Engine) -> Hello:
        members = self._world.fleet.list_all(service)
        addresses = tuple(
            sorted((one.server.host, one.server.port) for one in members)
        )
        known = (addresses, engine, self._find_max_gap(service))
        digest = xxhash.xxh32_intdigest(repr(known).encode())
        return Hello(self._world.settings.name, service, digest, *known)

    async def _greet(self, hello: Hello) -> None:
        whole = encode(hello)
        short = encode(Hello(hello.entry, hello.service, hello.digest))
        port = self._world.settings.agent_port
        for address in hello.members or ():
            knows = self._digests.get(address) == hello.digest
            await self._post.send_bytes(
                short if knows else whole, (address[0], port)
            )

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

    async def _take(self, message: Message, address: Address) -> None:
        match message:
            case Load():
                self._take_load(message)
            case GroupNews():
                await self._take_news(message)

    def _take_load(self, message: Load) -> None:
        self._digests[message.host, message.port] = message.digest
        self._world.note_entries(message.entries)

    async def _take_news(self, news: GroupNews) -> None:
        # Two coordinators may tell of one group; the newer one is right.
        if news.token < self._tokens.get(news.service, 0):
            return
        self._tokens[news.service] = news.token
        now = time.monotonic()
        for load in news.ranks:
            for member in self._world.fleet.find_host(news.service, load.host):
                member.take_figures(load.active + load.queued, load.pace, now)
                member.is_silent = load.is_silent
        await self._world.take_group_load(
            news.service,
            GroupLoad(
                running=sum(one.active for one in news.ranks),
                queued=sum(one.queued for one in news.ranks),
                pass_seconds=news.pass_seconds,
                base_seconds=0,
                is_open=news.is_open,
                epoch=news.epoch,
            ),
        )
