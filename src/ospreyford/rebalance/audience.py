"""The entries that an agent hears of, and what it tells them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ospreyford.rebalance.messages import (
    GroupNews,
    Hello,
    Load,
    encode,
)

if TYPE_CHECKING:
    from ospreyford.direct.catalog import Engine
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.post import Address, Post
    from ospreyford.rebalance.settings import AgentSettings

#: Entries that have been silent for so long are not counted, in seconds: six
#: greetings.
ENTRY_SECONDS = 3.0
#: Part of the coordinator's link that news to all entries may take.
NEWS_PART = 0.2


class Audience:
    """Answers entries, and learns the members of the service from them.

    :param settings: who this agent is.
    :param post: the process's datagrams.
    """

    def __init__(self, settings: AgentSettings, post: Post) -> None:
        self.members: tuple[Address, ...] = ()
        self.engine: Engine | None = None
        self.max_gap: float = 0
        self._backends: tuple[Address, ...] = ()
        self._settings = settings
        self._post = post
        self._digest = 0
        self.service = ''
        self._entries: dict[str, tuple[Address, float]] = {}
        self._next_news: float = 0
        self._told: tuple[bool, int] | None = None

    async def greet(
        self, hello: Hello, address: Address, state: RankState | None
    ) -> None:
        """Answer an entry's greeting.

        :param hello: the greeting.
        :param address: the entry's address.
        :param state: of the rank, if it answers.
        """
        self._entries[hello.entry] = (address, time.monotonic())
        self.service = hello.service
        if hello.members is not None:
            self._take_members(hello, hello.members)
        load = Load(
            host=self._settings.backend[0],
            port=self._settings.backend[1],
            digest=self._digest,
            entries=len(self._list_entries()),
            is_open=state is not None and state.is_open,
        )
        await self._post.send(load, address)

    async def tell_all(self, news: GroupNews) -> None:
        """Tell all entries of the group that this agent coordinates.

        News of many ranks to many entries would fill the link; those that a
        group has opened or closed go at once.

        :param news: what they are told.
        """
        now = time.monotonic()
        is_new = (news.is_open, news.epoch) != self._told
        if now < self._next_news and not is_new:
            return
        self._told = (news.is_open, news.epoch)
        datagram = encode(news)
        entries = self._list_entries()
        round_bytes = len(datagram) * len(entries)
        self._next_news = now + round_bytes / (
            NEWS_PART * self._settings.link_bytes
        )
        for address in entries:
            await self._post.send_bytes(datagram, address)

    def find_backend(self, host: str) -> Address | None:
        """Find the back end on a host.

        :param host: its IP number.
        :returns: IP number and port, or ``None``.
        """
        for address in self._backends:
            if address[0] == host:
                return address
        return None

    def _take_members(self, hello: Hello, members: tuple[Address, ...]) -> None:
        port = self._settings.datagrams[1]
        self._digest = hello.digest
        self._backends = members
        self.engine = hello.engine
        self.max_gap = hello.max_gap
        self.members = tuple(sorted((host, port) for host, _ in members))

    def _list_entries(self) -> list[Address]:
        oldest = time.monotonic() - ENTRY_SECONDS
        self._entries = {
            name: seen
            for name, seen in self._entries.items()
            if seen[1] > oldest
        }
        return [address for address, _ in self._entries.values()]
