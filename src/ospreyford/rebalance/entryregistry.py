"""Entries in contact with an agent, and the status published to them."""

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
from ospreyford.rebalance.raterelay import RateRelay

if TYPE_CHECKING:
    from ospreyford.direct.catalog import Engine
    from ospreyford.rebalance.datagrams import Address, DatagramSocket
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.rankloads import RankLoad
    from ospreyford.rebalance.settings import AgentSettings

MS_PER_SECOND = 1000
#: Six intervals between two hellos.
ENTRY_TIMEOUT_SECONDS = 3.0
#: Limits on the share of the link used for status without and with details.
STATUS_LINK_FRACTION = 0.1
DETAILS_LINK_FRACTION = 0.15
#: Limits requests for the same list to one entry at a time.
MEMBERS_REQUEST_INTERVAL_SECONDS = 0.15


class EntryRegistry:
    """Tracks entries and learns the members of the service from them.

    ``rates`` grants them sendings to backends of a limited rate.

    :param settings: the agent's settings.
    :param datagram_socket: the process's socket.
    """

    def __init__(
        self, settings: AgentSettings, datagram_socket: DatagramSocket
    ) -> None:
        self.rates = RateRelay(datagram_socket)
        self.members: tuple[Address, ...] = ()
        self.engine: Engine | None = None
        self.max_gap: float = 0
        self._backends: tuple[Address, ...] = ()
        self._settings = settings
        self._datagram_socket = datagram_socket
        self._digest = 0
        self.service = ''
        self._entries: dict[str, tuple[Address, float]] = {}
        self._next_status_at: float = 0
        self._next_details_at: float = 0
        self._next_members_request_at: float = 0
        self._last_published: tuple[bool, int] | None = None
        self._newest_version = 0
        self._settles_at: float = 0

    async def handle_hello(
        self, hello: Hello, address: Address, state: RankState | None
    ) -> None:
        """Record and reply to an entry's hello.

        :param hello: the message.
        :param address: the entry's address.
        :param state: state of the rank, or ``None`` if it does not respond.
        """
        now = time.monotonic()
        self._entries[hello.entry] = (address, now)
        self.service = hello.service
        self._newest_version = max(self._newest_version, hello.version)
        self._settles_at = max(
            self._settles_at, now + hello.settling_ms / MS_PER_SECOND
        )
        if hello.members is not None:
            self._record_members(hello, hello.members)
        reply = HelloReply(
            host=self._settings.backend[0],
            port=self._settings.backend[1],
            digest=self._digest,
            entries=len(self.list_entries()),
            is_open=state is not None and state.is_open,
            needs_members=self._should_request_members(hello),
            version=self._newest_version,
            settling_ms=max(int((self._settles_at - now) * MS_PER_SECOND), 0),
            position=sorted(self._entries).index(hello.entry),
        )
        await self._datagram_socket.send(reply, address)

    async def publish_status(
        self, status: GroupStatus, details: RankDetails
    ) -> None:
        """Publish a group's status to all entries, within bandwidth limits.

        Details are included at a lower rate than totals. A change of epoch or
        of openness is published immediately.

        :param status: the status without details.
        :param details: load of each rank.
        """
        now = time.monotonic()
        is_changed = (status.is_open, status.epoch) != self._last_published
        if now < self._next_status_at and not is_changed:
            return
        self._last_published = (status.is_open, status.epoch)
        entries = self.list_entries()
        published = msgspec.structs.replace(status, entries=len(entries))
        datagram = encode(published)
        self._next_status_at = now + self._compute_interval(
            datagram, len(entries), STATUS_LINK_FRACTION
        )
        if now >= self._next_details_at:
            datagram = encode(
                msgspec.structs.replace(published, details=details)
            )
            self._next_details_at = now + self._compute_interval(
                datagram, len(entries), DETAILS_LINK_FRACTION
            )
        for address in entries:
            await self._datagram_socket.send_bytes(datagram, address)

    def build_details(self, loads: Iterable[RankLoad]) -> RankDetails:
        """Build the details of a group's status.

        :param loads: the known loads of ranks.
        :returns: the loads in the order of the members.
        """
        load_by_host = {load.host: load for load in loads}
        requests = bytes(
            min(load_by_host[host].requests, UNKNOWN_REQUESTS - 1)
            if host in load_by_host
            else UNKNOWN_REQUESTS
            for host, _ in self._backends
        )
        impaired = tuple(
            ImpairedRank(load.host, load.pace, load.is_silent)
            for load in load_by_host.values()
            if load.is_silent or load.pace > 1
        )
        return RankDetails(self._digest, requests, impaired)

    def find_backend(self, host: str) -> Address | None:
        """Find the backend on a host.

        :param host: IP address of the host.
        :returns: IP address and port, or ``None`` if there is no such backend.
        """
        for address in self._backends:
            if address[0] == host:
                return address
        return None

    def list_entries(self) -> list[Address]:
        """List the entries in contact with this agent.

        :returns: their addresses.
        """
        oldest = time.monotonic() - ENTRY_TIMEOUT_SECONDS
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if entry[1] > oldest
        }
        return [address for address, _ in self._entries.values()]

    def _compute_interval(
        self, datagram: bytes, entry_count: int, link_fraction: float
    ) -> float:
        bytes_per_round = (len(datagram) + DATAGRAM_HEADER_BYTES) * entry_count
        return bytes_per_round / (link_fraction * self._settings.link_bytes)

    def _should_request_members(self, hello: Hello) -> bool:
        """Decide whether to request the list of members from an entry.

        Lists from all entries at once would saturate the link at startup.
        """
        now = time.monotonic()
        if hello.digest == self._digest or now < self._next_members_request_at:
            return False
        self._next_members_request_at = now + MEMBERS_REQUEST_INTERVAL_SECONDS
        return True

    def _record_members(
        self, hello: Hello, members: tuple[Address, ...]
    ) -> None:
        port = self._settings.datagrams[1]
        self._digest = hello.digest
        self._backends = members
        self.engine = hello.engine
        self.max_gap = hello.max_gap
        self.members = tuple(sorted({(host, port) for host, _ in members}))
