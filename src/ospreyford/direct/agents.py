"""What an entry tells the agents beside back ends, and learns from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
import xxhash

from ospreyford.rebalance.messages import (
    GroupNews,
    Hello,
    Load,
    Message,
    encode,
)
from ospreyford.rebalance.post import Post

if TYPE_CHECKING:
    from ospreyford.direct.fleet import Member
    from ospreyford.direct.world import World
    from ospreyford.rebalance.post import Address

#: Time between two greetings of one agent, in seconds.
GREETING_SECONDS = 0.5


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
        """Greet and listen for as long as the process lives."""
        await curio.spawn(self._post.receive, self._take, daemon=True)
        while True:
            await self._greet_all()
            await curio.sleep(GREETING_SECONDS)

    async def _greet_all(self) -> None:
        catalog = self._world.catalog
        if catalog is None:
            return
        for service in catalog.services.values():
            if service.engine is not None:
                members = self._world.fleet.list_all(service.name)
                await self._greet(service.name, members)

    async def _greet(self, service: str, members: list[Member]) -> None:
        name = self._world.settings.name
        port = self._world.settings.agent_port
        addresses = tuple(
            sorted((one.server.host, one.server.port) for one in members)
        )
        catalog = self._world.catalog
        engine = catalog.services[service].engine if catalog else None
        digest = xxhash.xxh32_intdigest(
            repr((addresses, engine)).encode()
        )
        short = encode(Hello(name, service, digest))
        whole = encode(Hello(name, service, digest, addresses, engine))
        for address in addresses:
            knows = self._digests.get(address) == digest
            await self._post.send_bytes(
                short if knows else whole, (address[0], port)
            )

    async def _take(self, message: Message, address: Address) -> None:
        match message:
            case Load():
                self._take_load(message)
            case GroupNews():
                await self._take_news(message)

    def _take_load(self, message: Load) -> None:
        self._digests[message.host, message.port] = message.digest
        self._world.budget.entries = max(message.entries, 1)

    async def _take_news(self, news: GroupNews) -> None:
        # Two coordinators may tell of one group; the newer one is right.
        if news.token < self._tokens.get(news.service, 0):
            return
        self._tokens[news.service] = news.token
        running = queued = 0
        for host, active, waiting in news.ranks:
            running += active
            queued += waiting
            for member in self._world.fleet.find_host(news.service, host):
                others = active + waiting - member.in_flight
                member.elsewhere = max(others, 0)
        await self._world.take_group_load(
            news.service, running, queued, news.pass_seconds
        )
