"""Hosts known to one process, from the host list and membership."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

from ospreyford.hosts.messages import (
    HostKey,
    HostResponse,
    decode_host,
    encode_host,
)
from ospreyford.membership.member import (
    UNKNOWN_INCARNATION,
    Member,
    MemberState,
)
from ospreyford.ports.fleet import Host

if TYPE_CHECKING:
    from ospreyford.membership.member import StateChange

#: Age up to which a list is used to report hosts as unlisted.
LIST_FRESH_SECONDS: Final = 60.0
#: Above this, reading the list costs less than querying peers.
MAX_QUERIED_LISTINGS: Final = 64
BACKEND_ROLE: Final = 'backend'


class MembershipPort(Protocol):
    """The part of membership that is joined with host listings."""

    def members(self) -> Sequence[Member]:
        """List the live and suspected members."""

    def find(self, name: str) -> Member | None:
        """Look up a member in any state."""

    def state_of(self, name: str) -> MemberState | None:
        """Look up a member's state."""


class _HostInstance(Protocol):
    """A host, a member or a listing."""

    @property
    def name(self) -> str:
        """Stable host name."""

    @property
    def instance(self) -> str:
        """Identifier of the current machine."""


class LabelScope(NamedTuple):
    """Hosts whose labels a process needs.

    Membership carries no labels. An entry needs the labels of every backend
    server, an agent only its own.

    :param own_name: this process's name.
    :param is_entry: whether this process is an entry.
    """

    own_name: str
    is_entry: bool

    def needs_labels(self, member: Member) -> bool:
        """Test whether the labels of a member are needed.

        :param member: the member.
        :returns: whether they are needed.
        """
        if self.is_entry:
            return member.role == BACKEND_ROLE
        return member.name == self.own_name


class KnownHosts:
    """Joins listings and members.

    Membership decides which instance of a name is current, so that a stale
    list does not bring a replaced machine back.

    :param scope: hosts whose labels are needed.
    :param membership: the members.
    """

    def __init__(self, scope: LabelScope, membership: MembershipPort) -> None:
        self.is_changed = False
        #: Live instances without the needed labels, set by `list_hosts`.
        self.missing: list[HostKey] = []
        self._dead_keys: list[HostKey] = []
        self._scope = scope
        self._membership = membership
        self._listings: dict[HostKey, Host] = {}
        self._listed_names: frozenset[str] = frozenset()
        self._list_read_at = -math.inf

    def handle_list(self, hosts: Iterable[Host], now: float) -> None:
        """Replace the listings; call after membership has merged the list.

        :param hosts: the listed hosts.
        :param now: monotonic time of the reading.
        """
        listings = {_build_key(host): host for host in hosts}
        self._listed_names = frozenset(key.name for key in listings)
        retained = {
            key: row
            for key, row in self._listings.items()
            if self._is_retained(key)
        }
        self._listings = retained | listings
        self._list_read_at = now
        self.is_changed = True

    def handle_member_change(self, _change: StateChange) -> None:
        """Handle a state change; a subscriber of membership.

        :param _change: the change.
        """
        self.is_changed = True

    def handle_response(
        self, queries: Iterable[HostKey], response: HostResponse
    ) -> bool:
        """Merge a response from another process.

        :param queries: the queries sent.
        :param response: the response.
        :returns: whether any listing changed.
        """
        requested = frozenset(queries)
        received = {
            _build_key(row): decode_host(row) for row in response.listings
        }
        added = {
            key: host
            for key, host in received.items()
            if key in requested and key not in self._listings
        }
        self._listings |= added
        unlisted_names = frozenset(response.unlisted_names).intersection(
            query.name for query in requested
        )
        removed = [
            key
            for key in self._listings
            if self._is_removed(key, unlisted_names)
        ]
        for key in removed:
            self._listings.pop(key)
        is_changed = bool(added or removed)
        self.is_changed = self.is_changed or is_changed
        return is_changed

    def build_response(
        self, queries: Iterable[HostKey], now: float
    ) -> HostResponse:
        """Build the response to another process.

        :param queries: its queries.
        :param now: monotonic time.
        :returns: the response.
        """
        keys = tuple(queries)
        listings = [
            self._listings[key] for key in keys if key in self._listings
        ]
        unlisted_names: tuple[str, ...] = ()
        if now - self._list_read_at <= LIST_FRESH_SECONDS:
            unlisted_names = tuple(
                key.name for key in keys if key.name not in self._listed_names
            )
        return HostResponse(
            tuple(encode_host(row) for row in listings), unlisted_names
        )

    def list_queries(self) -> list[HostKey]:
        """List queries for the zone's readers.

        :returns: as of the last :meth:`list_hosts`, instances with missing
            labels and, on an entry, dead ones that may be unlisted.
        """
        return [*self.missing, *self._dead_keys]

    def list_hosts(self) -> tuple[Host, ...]:
        """List the hosts, without those whose needed labels are unknown.

        :returns: one host per name.
        """
        hosts = {
            key.name: row
            for key, row in self._listings.items()
            if self._matches_member(key)
        }
        members = {each.name: each for each in self._membership.members()}
        self._dead_keys = [
            _build_key(host)
            for name, host in hosts.items()
            if self._scope.is_entry
            and name not in members
            and self._membership.state_of(name) is MemberState.dead
        ]
        self.missing = []
        for name, member in members.items():
            if name in hosts or not _has_incarnation(member):
                continue
            if self._scope.needs_labels(member):
                self.missing.append(_build_key(member))
            else:
                hosts[name] = _build_host(member)
        return tuple(hosts.values())

    def drop_unneeded(self, now: float) -> None:
        """Drop listings that an agent read as reader, once they are stale.

        :param now: monotonic time.
        """
        if (
            self._scope.is_entry
            or now - self._list_read_at <= LIST_FRESH_SECONDS
        ):
            return
        self._listings = {
            key: row
            for key, row in self._listings.items()
            if key.name == self._scope.own_name
        }
        self._listed_names = frozenset()
        self._list_read_at = -math.inf

    def _matches_member(self, key: HostKey) -> bool:
        member = self._membership.find(key.name)
        if member is None:
            return False
        return not _has_incarnation(member) or member.instance == key.instance

    def _is_dead(self, key: HostKey) -> bool:
        if self._membership.state_of(key.name) is not MemberState.dead:
            return False
        return self._matches_member(key)

    def _is_removed(self, key: HostKey, names: frozenset[str]) -> bool:
        # The list may be older than a live host.
        return key.name in names and self._is_dead(key)

    def _is_retained(self, key: HostKey) -> bool:
        member = self._membership.find(key.name)
        if member is None or not _has_incarnation(member):
            return False
        if member.instance != key.instance:
            return False
        return key.name in self._listed_names or not self._is_dead(key)


def _build_key(instance: _HostInstance) -> HostKey:
    return HostKey(instance.name, instance.instance)


def _build_host(member: Member) -> Host:
    return Host(
        name=member.name,
        instance=member.instance,
        role=member.role,
        zone=member.zone,
        region=member.region,
        service=member.service,
        data_address=member.data_address,
        peer_address=member.peer_address,
    )


def _has_incarnation(member: Member) -> bool:
    return member.incarnation != UNKNOWN_INCARNATION
