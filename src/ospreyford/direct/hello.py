"""Hello messages to the agents of model services."""

from __future__ import annotations

import time
from itertools import chain
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec
import xxhash

from ospreyford.direct.coordinators import KnownCoordinators
from ospreyford.direct.freshness import read_boot_clock
from ospreyford.direct.gates import refresh_groups
from ospreyford.direct.grouproom import NO_GROUP
from ospreyford.rebalance.entrymessages import Hello
from ospreyford.rebalance.groupkey import GroupKey
from ospreyford.rebalance.messages import encode

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.direct.catalog import Catalog, Engine
    from ospreyford.direct.context import EntryContext
    from ospreyford.rebalance.datagrams import DatagramSocket
    from ospreyford.rebalance.entrymessages import Address
    from ospreyford.suspects.messages import SuspectReport

MS_PER_SECOND = 1000
#: Interval between hellos after the start: entries that return together must
#: have counted each other before the group opens 0.6 s later. Also the least
#: time until agents are told that groups have changed.
STARTUP_HELLO_INTERVAL_SECONDS = 0.1
#: Agents, besides the coordinators, that receive each hello in rotation.
HELLO_FANOUT = 4
#: Of these, agents of no known group, which tell it in their reply.
UNASSIGNED_FANOUT = 2
#: Rate limit of an entry that sends hellos to all agents.
MAX_HELLOS_PER_SECOND = 500


class _HelloSchedule(NamedTuple):
    """Schedule of the hellos of one service.

    :param next_at: time of the next hello, in seconds on the monotonic clock.
    :param news_at: the same if the groups have changed since the last one.
    :param complete: groups of which all agents got the last one.
    :param restores: restores of the store that the last one told of.
    :param groups: version of the groups that it told.
    """

    next_at: float
    news_at: float = 0
    complete: frozenset[GroupKey] = frozenset()
    restores: int = 0
    groups: int = 0


NO_HELLO: Final = _HelloSchedule(0)


class HelloSender:
    """Sends hellos to the agents of all model services.

    Agents learn the members of their group from hellos; an agent with another
    digest requests the full list. While coordinators report, hellos go to them
    and a few agents in rotation: sent by every entry to every agent, they would
    grow with the product of both.

    ``hellos`` holds the last hello with the full member list, by group; that of
    agents of no known group lists no members.

    :param context: shared state of the entry.
    :param transport: the process's datagram socket.
    """

    def __init__(
        self, context: EntryContext, transport: DatagramSocket
    ) -> None:
        self._context = context
        self._transport = transport
        self.coordinators = KnownCoordinators()
        self.hellos: dict[GroupKey, Hello] = {}
        self._schedules: dict[str, _HelloSchedule] = {}
        self._next_agent: dict[str | GroupKey, int] = {}

    async def send_due(self) -> None:
        """Send the hellos that are due."""
        refresh_groups(self._context)
        catalog = self._context.catalog
        services = catalog.services if catalog else {}
        for name, service in services.items():
            if service.engine is not None and self._is_due(name):
                await self._send_hellos(name, service.engine)

    async def send_suspects(self, report: SuspectReport) -> None:
        """Tell agents of suspected requests; they pass on what is new.

        :param report: what has changed.
        """
        encoded = encode(report)
        for service in sorted({key.service for key in self.hellos}):
            targets = self._list_coordinators(service)
            if targets:
                targets.update(self._select_agents(service))
            else:
                agents = self._list_agents(self._list_keys(service))
                targets = dict(agents[: HELLO_FANOUT + 1])
            for address in targets:
                await self._transport.send_bytes(encoded, address)

    def _is_due(self, service: str) -> bool:
        now = time.monotonic()
        schedule = self._schedules.get(service, NO_HELLO)
        silent = self._list_silent(service)
        # An entry that starts now must hear of a restore.
        is_restored = schedule.restores != self._context.store_restores
        is_news = schedule.groups != self._context.groups.directory.version
        return (
            is_restored
            or now >= schedule.next_at
            or not schedule.complete.issuperset(silent)
            or (is_news and now >= schedule.news_at)
        )

    async def _send_hellos(self, service: str, engine: Engine) -> None:
        self._update_hellos(service, engine)
        silent = self._list_silent(service)
        targets = dict(self._list_agents(silent))
        if len(silent) < len(self._list_keys(service)):
            targets.update(self._list_coordinators(service))
            targets.update(self._select_agents(service))
        self._schedule_next(service, len(targets), silent)
        encoded = {
            key: encode(_shorten(self.hellos[key]))
            for key in set(targets.values())
        }
        for address, receiver in targets.items():
            await self._transport.send_bytes(encoded[receiver], address)

    def _schedule_next(
        self, service: str, sent: int, complete: Iterable[GroupKey]
    ) -> None:
        interval = (
            STARTUP_HELLO_INTERVAL_SECONDS
            if self._context.is_starting()
            else self.coordinators.compute_hello_interval()
        )
        least = sent / MAX_HELLOS_PER_SECOND
        now = time.monotonic()
        self._schedules[service] = _HelloSchedule(
            now + max(interval, least),
            now + max(STARTUP_HELLO_INTERVAL_SECONDS, least),
            frozenset(complete),
            self._context.store_restores,
            self._context.groups.directory.version,
        )

    def _update_hellos(self, service: str, engine: Engine) -> None:
        """Make the hellos of a service's groups anew."""
        others = {
            key: hello
            for key, hello in self.hellos.items()
            if key.service != service
        }
        made = {
            group: self._make_hello(group, engine)
            for group in self._list_keys(service)
        }
        self.hellos = others | made
        self.coordinators.forget_others(self._context.groups.view.members)

    def _make_hello(self, key: GroupKey, engine: Engine) -> Hello:
        context = self._context
        view = context.groups.view
        contents = (
            view.list_members(key) if key.name else (),
            engine,
            find_max_gap(context.catalog, key.service),
        )
        unassigned = view.list_members(GroupKey(key.service, NO_GROUP))
        digested = repr((*contents, unassigned)).encode()
        settling_seconds = context.key_guard.compute_wait(read_boot_clock())
        return Hello(
            context.settings.name,
            key.service,
            xxhash.xxh32_intdigest(digested),
            *contents,
            version=context.get_version(),
            settling_ms=int(settling_seconds * MS_PER_SECOND),
            suspects=context.suspect_sharing.compute_digest(),
            group=key.name,
            unassigned=unassigned,
            groups=self.coordinators.count_heard(),
        )

    def _list_keys(self, service: str) -> list[GroupKey]:
        """List the groups of a service, and the key of unassigned agents."""
        view = self._context.groups.view
        unassigned = GroupKey(service, NO_GROUP)
        keys = view.list_groups(service)
        if unassigned in view.members or not keys:
            keys.append(unassigned)
        return keys

    def _list_silent(self, service: str) -> list[GroupKey]:
        """List the groups of which all agents must hear of this entry.

        Agents of no known group tell it in their reply.
        """
        keys = self._list_keys(service)
        named = [key for key in keys if key.name]
        silent = self.coordinators.list_silent(named)
        if not named or self._context.is_starting():
            silent.extend(keys[len(named) :])
        return silent

    def _list_agents(
        self, keys: Iterable[GroupKey]
    ) -> list[tuple[Address, GroupKey]]:
        """List the agents of groups with their groups, by address."""
        port = self._context.settings.agent_port
        view = self._context.groups.view
        hosts = {
            host: key for key in keys for host, _ in view.list_members(key)
        }
        return [((host, port), hosts[host]) for host in sorted(hosts)]

    def _list_coordinators(self, service: str) -> dict[Address, GroupKey]:
        """List the coordinators of a service with their groups."""
        coordinators: dict[Address, GroupKey] = {}
        for key in self._list_keys(service):
            address = self.coordinators.find(key)
            if address is not None:
                coordinators[address] = key
        return coordinators

    def _select_agents(self, service: str) -> list[tuple[Address, GroupKey]]:
        """Select agents in rotation; those of no known group come earlier."""
        keys = self._list_keys(service)
        unassigned = self._list_agents(key for key in keys if not key.name)
        fanout = UNASSIGNED_FANOUT if unassigned else 0
        return [
            *self._rotate(GroupKey(service, NO_GROUP), unassigned, fanout),
            *self._rotate(
                service, self._list_agents(keys), HELLO_FANOUT - fanout
            ),
        ]

    def _rotate(
        self,
        turn: str | GroupKey,
        agents: list[tuple[Address, GroupKey]],
        fanout: int,
    ) -> list[tuple[Address, GroupKey]]:
        if not agents:
            return []
        # A random start keeps entries from picking the same agents.
        first = self._next_agent.get(
            turn, self._context.random.randrange(len(agents))
        )
        first %= len(agents)
        self._next_agent[turn] = first + fanout
        return (agents + agents)[first : first + fanout]


def find_max_gap(catalog: Catalog | None, service: str) -> float:
    """Find the shortest of the longest gaps that a service's routes allow.

    :param catalog: the catalog in force.
    :param service: name of the service.
    :returns: seconds; 0 if none is published.
    """
    routes = catalog.routes.values() if catalog else ()
    gaps = [
        route.max_gap
        for route in chain.from_iterable(routes)
        if route.max_gap > 0 and route.splits[0].service == service
    ]
    return min(gaps, default=0)


def _shorten(hello: Hello) -> Hello:
    """Leave out what an agent gets on request."""
    return msgspec.structs.replace(
        hello, members=None, engine=None, max_gap=0, unassigned=()
    )
