"""What an entry learns from the agents beside back ends."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.direct.admission import GroupLoad
from ospreyford.direct.greetings import (
    FIRST_GREETING_SECONDS,
    GREETING_SECONDS,
    Greetings,
)
from ospreyford.rebalance.datagrams import DatagramSocket
from ospreyford.rebalance.entrymessages import (
    UNKNOWN_REQUESTS,
    GroupStatus,
    Hello,
    HelloReply,
    ImpairedRank,
    RankDetails,
)

if TYPE_CHECKING:
    from ospreyford.direct.world import World
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.messages import Message


class AgentLink:
    """Greets the agents of all model services and takes what they tell.

    :param world: what the entry knows.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._post = DatagramSocket(world.settings.datagrams)
        self.greetings = Greetings(world, self._post)
        self._tokens: dict[str, int] = {}

    async def run(self) -> None:
        """Listen for as long as the process lives."""
        await self._post.receive(self.take)

    async def greet_often(self) -> None:
        """Greet for as long as the process lives."""
        while True:
            await self.greetings.greet_due()
            await curio.sleep(FIRST_GREETING_SECONDS)

    async def take(self, message: Message, address: Address) -> None:
        """Take over what an agent says.

        :param message: the message.
        :param address: the agent's address.
        """
        match message:
            case HelloReply():
                await self._take_load(message, address)
            case GroupStatus():
                await self._take_news(message, address)

    async def _take_load(self, load: HelloReply, address: Address) -> None:
        hello = self._find_hello(load)
        if hello is None:
            return
        if load.needs_members:
            await self._post.send(hello, address)
        if self.greetings.tell_silence(hello.service) > GREETING_SECONDS:
            # An agent that does not coordinate hears of few entries while one
            # that does is there.
            self._world.note_entries(load.entries)

    def _find_hello(self, load: HelloReply) -> Hello | None:
        for hello in self.greetings.hellos.values():
            if (load.host, load.port) in (hello.members or ()):
                return hello
        return None

    async def _take_news(self, news: GroupStatus, address: Address) -> None:
        # Two coordinators may tell of one group; the newer one is right.
        if news.token < self._tokens.get(news.service, 0):
            return
        self._tokens[news.service] = news.token
        now = time.monotonic()
        self.greetings.note_coordinator(news.service, address)
        self._world.note_entries(news.entries)
        if news.details is not None:
            self._take_details(news.service, news.details, now)
        await self._world.take_group_load(
            news.service,
            GroupLoad(
                running=news.running,
                queued=news.queued,
                pass_seconds=news.pass_seconds,
                base_seconds=0,
                is_open=news.is_open,
                epoch=news.epoch,
            ),
        )

    def _take_details(
        self, service: str, details: RankDetails, now: float
    ) -> None:
        hello = self.greetings.hellos.get(service)
        odd = {one.host: one for one in details.impaired}
        requests: dict[str, int] = {}
        if hello is not None and hello.digest == details.digest:
            hosts = (host for host, _ in hello.members or ())
            requests = dict(zip(hosts, details.requests, strict=False))
        for member in self._world.fleet.list_all(service):
            host = member.server.host
            strange = odd.get(host, ImpairedRank(host, 1, is_silent=False))
            member.is_silent = strange.is_silent
            told = requests.get(host, UNKNOWN_REQUESTS)
            if told == UNKNOWN_REQUESTS:
                member.pace = max(strange.pace, 1)
            else:
                member.take_figures(told, strange.pace, now)
