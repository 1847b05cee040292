"""Groups of backends, as their agents told last."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.direct.grouproom import NO_GROUP
from ospreyford.rebalance.groupkey import GroupKey

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from ospreyford.direct.registry import BackendServer
    from ospreyford.rebalance.entrymessages import Address


class GroupView(NamedTuple):
    """Groups at one moment.

    :param members: sorted addresses by group, and those of no known group by
        the key without a name.
    :param tags: keys of the named groups by tag.
    :param rooms: name of the group by address; the only group of a service
        counts backends of no known group as its own.
    """

    members: Mapping[GroupKey, tuple[Address, ...]]
    tags: Mapping[int, GroupKey]
    rooms: Mapping[Address, str]

    def list_groups(self, service: str) -> list[GroupKey]:
        """List the named groups of a service.

        :param service: name of the service.
        :returns: their keys.
        """
        return [key for key in self.tags.values() if key.service == service]

    def list_members(self, key: GroupKey) -> tuple[Address, ...]:
        """Return the members of a group.

        :param key: key of the group.
        :returns: sorted addresses.
        """
        return self.members.get(key, ())


class GroupDirectory:
    """Key of the group of each registered address.

    An address belongs to the service that registered it last. Its group is told
    by its agent, or else by a coordinator that counts it among its ranks.
    """

    def __init__(self) -> None:
        #: Counts the changes.
        self.version = 0
        self._keys: dict[Address, GroupKey] = {}

    def update_registered(self, servers: Iterable[BackendServer]) -> None:
        """Apply the list of all registrations.

        :param servers: registered backends; addresses that they lack are
            forgotten.
        """
        newest: dict[Address, BackendServer] = {}
        for server in servers:
            address = server.host, server.port
            known = newest.get(address, server)
            if server.revision >= known.revision:
                newest[address] = server
        self._keys = {
            place: self._keep_key(place, latest.service)
            for place, latest in newest.items()
        }

    def record_name(self, address: Address, name: str) -> None:
        """Record what an agent told.

        :param address: of its backend.
        :param name: name of the group; empty if the agent doesn't know it,
            which says nothing.
        """
        known = self._keys.get(address)
        if known is None or name in {NO_GROUP, known.name}:
            return
        self._keys[address] = known._replace(name=name)
        self.version += 1

    def record_ranks(self, group: GroupKey, hosts: Collection[str]) -> None:
        """Record ranks that a coordinator named.

        Only backends of which no group is known follow it: an agent knows its
        own group better.

        :param group: key of the coordinator's group.
        :param hosts: IP addresses of the ranks' hosts.
        """
        unassigned = GroupKey(group.service, NO_GROUP)
        for address, key in self._keys.items() if hosts else ():
            if key == unassigned and address[0] in hosts:
                self._keys[address] = group
                self.version += 1

    def find(self, address: Address) -> GroupKey | None:
        """Find the group of an address.

        :param address: of a backend.
        :returns: the key; without a name if no group is known; ``None`` if the
            address is not registered.
        """
        return self._keys.get(address)

    def make_view(self) -> GroupView:
        """Collect the groups as they are known now.

        :returns: the groups.
        """
        members: dict[GroupKey, list[Address]] = defaultdict(list)
        for place, known in self._keys.items():
            members[known].append(place)
        named = sorted(key for key in members if key.is_named())
        only = _find_only_groups(named)
        return GroupView(
            {key: tuple(sorted(found)) for key, found in members.items()},
            {key.compute_tag(): key for key in named},
            {
                address: key.name or only.get(key.service, NO_GROUP)
                for address, key in self._keys.items()
            },
        )

    def _keep_key(self, address: Address, service: str) -> GroupKey:
        known = self._keys.get(address)
        if known is not None and known.service == service:
            return known
        return GroupKey(service, NO_GROUP)


def _find_only_groups(named: Collection[GroupKey]) -> dict[str, str]:
    """Find the services with a single group; its name by service."""
    counts = Counter(key.service for key in named)
    return {key.service: key.name for key in named if counts[key.service] < 2}
