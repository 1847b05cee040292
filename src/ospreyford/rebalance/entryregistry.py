"""Entries in contact with an agent, and the status published to them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.rebalance.entrymessages import Hello, HelloReply
from ospreyford.rebalance.groupkey import GroupKey
from ospreyford.rebalance.raterelay import RateRelay
from ospreyford.rebalance.roster import Roster, make_roster

if TYPE_CHECKING:
    from ospreyford.rebalance.datagrams import Address, DatagramSocket
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.settings import AgentSettings

MS_PER_SECOND = 1000
#: Six intervals between two hellos.
ENTRY_TIMEOUT_SECONDS = 3.0
#: Limits requests for the same list to one entry at a time.
MEMBERS_REQUEST_INTERVAL_SECONDS = 0.15


class _Entry(NamedTuple):
    """An entry, as last heard from.

    :param address: its address.
    :param heard_at: time of its last hello, in seconds on the monotonic clock.
    :param groups: number of groups that it hears.
    """

    address: Address
    heard_at: float
    groups: int


class EntryRegistry:
    """Tracks entries and learns service and members of the group from them.

    ``rates`` grants them sendings to backends of a limited rate.

    :param settings: the agent's settings.
    :param datagram_socket: the process's socket.

    ``service`` is empty until the first hello. ``group`` is the one that the
    rank reported last.
    """

    def __init__(
        self, settings: AgentSettings, datagram_socket: DatagramSocket
    ) -> None:
        self.rates = RateRelay(datagram_socket)
        self.service = ''
        self.group = ''
        self._service_heard_at: float = 0
        self._roster: Roster | None = None
        self._settings = settings
        self._datagram_socket = datagram_socket
        self._entries: dict[str, _Entry] = {}
        self._next_members_request_at: float = 0
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
        self._entries[hello.entry] = _Entry(address, now, hello.groups)
        self._record_service(hello.service, now)
        if state is not None:
            self.record_group(state.group)
        self._newest_version = max(self._newest_version, hello.version)
        self._settles_at = max(
            self._settles_at, now + hello.settling_ms / MS_PER_SECOND
        )
        is_own = self._is_own_group(hello)
        if is_own and hello.members is not None:
            self._roster = make_roster(hello, self._settings.datagrams[1])
        reply = self._make_reply(
            hello.entry,
            state,
            needs_members=is_own and self._should_request_members(hello),
        )
        await self._datagram_socket.send(reply, address)

    def record_group(self, group: str) -> bool:
        """Record the group that the rank reports.

        :param group: its name; may be empty.
        :returns: whether it has changed.
        """
        if group == self.group:
            return False
        self.group = group
        self._forget_roster()
        return True

    async def announce_group(self, state: RankState) -> None:
        """Tell all entries the group of the rank at once.

        :param state: the rank's state.
        """
        self.list_entries()
        for name, entry in tuple(self._entries.items()):
            reply = self._make_reply(name, state, needs_members=False)
            await self._datagram_socket.send(reply, entry.address)

    def find_roster(self, key: GroupKey) -> Roster | None:
        """Find the members of a group.

        :param key: the group.
        :returns: its members; ``None`` if they aren't known, or if it isn't the
            group of the rank.
        """
        roster = self._roster
        return roster if roster is not None and roster.key == key else None

    def list_entries(self) -> list[Address]:
        """List the entries in contact with this agent.

        :returns: their addresses.
        """
        oldest = time.monotonic() - ENTRY_TIMEOUT_SECONDS
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if entry.heard_at > oldest
        }
        return [entry.address for entry in self._entries.values()]

    def count_groups(self) -> int:
        """Count the groups whose coordinators report to the same entry.

        :returns: the largest number that an entry has told.
        """
        return max((one.groups for one in self._entries.values()), default=1)

    def _record_service(self, service: str, now: float) -> None:
        # A backend listed in two services must not change over with each hello.
        is_unconfirmed = now - self._service_heard_at > ENTRY_TIMEOUT_SECONDS
        if service != self.service:
            if self.service and not is_unconfirmed:
                return
            self.service = service
            self._forget_roster()
        self._service_heard_at = now

    def _forget_roster(self) -> None:
        self._roster = None
        self._next_members_request_at = 0

    def _is_own_group(self, hello: Hello) -> bool:
        key = GroupKey(hello.service, hello.group)
        return key.is_named() and key == GroupKey(self.service, self.group)

    def _should_request_members(self, hello: Hello) -> bool:
        """Decide whether to request the list of members from an entry.

        Lists from all entries at once would saturate the link at startup.
        """
        now = time.monotonic()
        if hello.digest == self._get_digest():
            return False
        if now < self._next_members_request_at:
            return False
        self._next_members_request_at = now + MEMBERS_REQUEST_INTERVAL_SECONDS
        return True

    def _get_digest(self) -> int:
        return 0 if self._roster is None else self._roster.digest

    def _make_reply(
        self, entry: str, state: RankState | None, *, needs_members: bool
    ) -> HelloReply:
        remaining = self._settles_at - time.monotonic()
        return HelloReply(
            host=self._settings.backend[0],
            port=self._settings.backend[1],
            digest=self._get_digest(),
            entries=len(self.list_entries()),
            is_open=state is not None and state.is_open,
            needs_members=needs_members,
            version=self._newest_version,
            settling_ms=max(int(remaining * MS_PER_SECOND), 0),
            position=sorted(self._entries).index(entry),
            group='' if state is None else state.group,
        )
