"""The entries that an agent hears of, and what it tells them."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import TYPE_CHECKING

import msgspec

from ospreyford.rebalance.datagrams import DATAGRAM_HEADER_BYTES
from ospreyford.rebalance.entrymessages import (
    UNKNOWN_REQUESTS,
    GroupStatus,
    Hello,
    HelloReply,
    ImpairedRank,
    RankDetails,
)
from ospreyford.rebalance.messages import encode

if TYPE_CHECKING:
    from ospreyford.direct.catalog import Engine
    from ospreyford.rebalance.datagrams import Address, DatagramSocket
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.rankloads import RankLoad
    from ospreyford.rebalance.settings import AgentSettings

#: Entries that have been silent for so long are not counted, in seconds: six
#: greetings.
ENTRY_SECONDS = 3.0
#: Parts of the coordinator's link that the totals for all entries may take, and
#: the news that also tell what each rank has to do.
NEWS_PART = 0.1
DETAILS_PART = 0.15
#: Time between two questions for the list of members, in seconds. One entry is
#: asked, not each that greets with the same list meanwhile.
ASK_SECONDS = 0.15


class Audience:
    """Answers entries, and learns the members of the service from them.

    :param settings: who this agent is.
    :param post: the process's datagrams.
    """

    def __init__(self, settings: AgentSettings, post: DatagramSocket) -> None:
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
        self._next_details: float = 0
        self._next_question: float = 0
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
        load = HelloReply(
            host=self._settings.backend[0],
            port=self._settings.backend[1],
            digest=self._digest,
            entry_count=len(self._list_entries()),
            is_open=state is not None and state.is_open,
            needs_members=self._may_ask(hello),
        )
        await self._post.send(load, address)

    async def tell_all(self, news: GroupStatus, details: RankDetails) -> None:
        """Tell all entries of the group that this agent coordinates.

        News of many ranks to many entries would fill the link: what each rank
        has to do goes along as often as the link bears it, the totals more
        often. News that a group has opened or closed go at once.

        :param news: what they are told.
        :param details: what goes along when it is due.
        """
        now = time.monotonic()
        is_new = (news.is_open, news.epoch) != self._told
        if now < self._next_news and not is_new:
            return
        self._told = (news.is_open, news.epoch)
        entries = self._list_entries()
        told = msgspec.structs.replace(news, entries=len(entries))
        datagram = encode(told)
        self._next_news = now + self._tell_seconds(
            datagram, len(entries), NEWS_PART
        )
        if now >= self._next_details:
            datagram = encode(msgspec.structs.replace(told, details=details))
            self._next_details = now + self._tell_seconds(
                datagram, len(entries), DETAILS_PART
            )
        for address in entries:
            await self._post.send_bytes(datagram, address)

    def make_details(self, loads: Iterable[RankLoad]) -> RankDetails:
        """Put together what each rank has to do.

        :param loads: of the ranks that are known.
        :returns: their loads, in the order of the members.
        """
        known = {load.host: load for load in loads}
        requests = bytes(
            min(known[host].requests, UNKNOWN_REQUESTS - 1)
            if host in known
            else UNKNOWN_REQUESTS
            for host, _ in self._backends
        )
        odd = tuple(
            ImpairedRank(load.host, load.pace, load.is_silent)
            for load in known.values()
            if load.is_silent or load.pace > 1
        )
        return RankDetails(self._digest, requests, odd)

    def find_backend(self, host: str) -> Address | None:
        """Find the back end on a host.

        :param host: its IP number.
        :returns: IP number and port, or ``None``.
        """
        for address in self._backends:
            if address[0] == host:
                return address
        return None

    def _tell_seconds(
        self, datagram: bytes, entries: int, part: float
    ) -> float:
        round_bytes = (len(datagram) + DATAGRAM_HEADER_BYTES) * entries
        return round_bytes / (part * self._settings.link_bytes)

    def _may_ask(self, hello: Hello) -> bool:
        """Tell whether to ask an entry for its list of members.

        Load pattern: all hosts are back together, and 35 entries greet an
        agent that knows no members yet. Each list of 129 has two kilobytes;
        from all entries at once they fill the link for a fifth of a second.
        """
        now = time.monotonic()
        if hello.digest == self._digest or now < self._next_question:
            return False
        self._next_question = now + ASK_SECONDS
        return True

    def _take_members(self, hello: Hello, members: tuple[Address, ...]) -> None:
        port = self._settings.datagrams[1]
        self._digest = hello.digest
        self._backends = members
        self.engine = hello.engine
        self.max_gap = hello.max_gap
        self.members = tuple(sorted({(host, port) for host, _ in members}))

    def _list_entries(self) -> list[Address]:
        oldest = time.monotonic() - ENTRY_SECONDS
        self._entries = {
            name: seen
            for name, seen in self._entries.items()
            if seen[1] > oldest
        }
        return [address for address, _ in self._entries.values()]
