"""Members of a group as an entry has told them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ospreyford.rebalance.entrymessages import (
    UNKNOWN_REQUESTS,
    ImpairedRank,
    RankDetails,
)
from ospreyford.rebalance.groupkey import GroupKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.direct.catalog import Engine
    from ospreyford.rebalance.entrymessages import Address, Hello
    from ospreyford.rebalance.rankloads import RankLoad


class Roster(NamedTuple):
    """Backends and agents of a group, with the figures of its engine.

    :param key: the group.
    :param digest: digest of the list, as the entry told it.
    :param backends: IP address and port of each backend of the group, sorted.
    :param other_backends: the same of the backends that no group is known of.
    :param members: addresses of the group's agents, sorted.
    :param unassigned: addresses of the agents beside the other backends.
    :param engine: published parameters of the engine, if known.
    :param max_gap: longest acceptable time between events of a stream, in
        seconds; 0 if none is published.
    """

    key: GroupKey
    digest: int = 0
    backends: tuple[Address, ...] = ()
    other_backends: tuple[Address, ...] = ()
    members: tuple[Address, ...] = ()
    unassigned: tuple[Address, ...] = ()
    engine: Engine | None = None
    max_gap: float = 0

    def find_backend(self, host: str) -> Address | None:
        """Find the backend on a host.

        :param host: IP address of the host.
        :returns: IP address and port, or ``None`` if there is no such backend.
        """
        for address in (*self.backends, *self.other_backends):
            if address[0] == host:
                return address
        return None

    def list_candidates(self) -> list[Address]:
        """List the agents that may belong to the group.

        :returns: addresses of members and of unassigned agents, sorted.
        """
        return sorted({*self.members, *self.unassigned})

    def build_details(self, loads: Iterable[RankLoad]) -> RankDetails:
        """Build the details of the group's status.

        :param loads: the known loads of ranks.
        :returns: the loads in the order of the backends.
        """
        load_by_host = {load.host: load for load in loads}
        requests = bytes(
            min(load_by_host[host].requests, UNKNOWN_REQUESTS - 1)
            if host in load_by_host
            else UNKNOWN_REQUESTS
            for host, _ in self.backends
        )
        impaired = tuple(
            ImpairedRank(load.host, load.pace, load.is_silent)
            for load in load_by_host.values()
            if load.is_silent or load.pace > 1
        )
        return RankDetails(self.digest, requests, impaired)


def make_roster(hello: Hello, agent_port: int) -> Roster:
    """Make a roster from a hello that bears the list.

    :param hello: the message.
    :param agent_port: port of all agents.
    :returns: the roster of the group that the hello is about.
    """
    backends = hello.members or ()
    return Roster(
        key=GroupKey(hello.service, hello.group),
        digest=hello.digest,
        backends=backends,
        other_backends=hello.unassigned,
        members=_list_agents(backends, agent_port),
        unassigned=_list_agents(hello.unassigned, agent_port),
        engine=hello.engine,
        max_gap=hello.max_gap,
    )


def _list_agents(
    backends: tuple[Address, ...], port: int
) -> tuple[Address, ...]:
    return tuple(sorted({(host, port) for host, _ in backends}))
