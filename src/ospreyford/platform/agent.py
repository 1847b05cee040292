"""Agent program for the platform."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from socket import socket

import curio

from ospreyford.console.allocator import hand_back_memory
from ospreyford.console.stopping import Stop
from ospreyford.observability.events import Started
from ospreyford.observability.logs import ChangeLog
from ospreyford.observability.tallies import serve_tally
from ospreyford.platform.errors import BadNodeFile
from ospreyford.platform.nodefile import PATH_VARIABLE, Node
from ospreyford.platform.output import METRICS_PORT, open_log
from ospreyford.platform.reloader import SettingsReloader
from ospreyford.platform.replica import ReplicaClient
from ospreyford.ports.clock import SystemClock
from ospreyford.rebalance.agent import RankAgent
from ospreyford.rebalance.agentports import AgentPorts
from ospreyford.rebalance.settings import AgentSettings

#: Response timeout for a backend on another host.
REMOTE_TIMEOUT_SECONDS = 0.25


def make_settings(node: Node) -> AgentSettings:
    """Convert node settings to agent settings.

    :param node: the node settings.
    :returns: the settings.
    :raises BadNodeFile: no backend is configured on this host.
    """
    if node.backend is None:
        raise BadNodeFile(PATH_VARIABLE, 'app', 'missing')
    return AgentSettings(
        name=node.name,
        zone=node.zone,
        region=node.region,
        backend=node.backend,
        datagrams=(node.ip, node.first_port),
        metrics_port=METRICS_PORT,
        grace_seconds=node.grace_seconds,
        link_bytes=node.link_bytes,
    )


def open_remote_replica(address: tuple[str, int]) -> ReplicaClient:
    """Create a client for a backend on another host.

    :param address: IP address and port.
    :returns: the client.
    """
    return ReplicaClient(address, REMOTE_TIMEOUT_SECONDS)


def apply_settings(stop: Stop, changed: Node) -> None:
    """Apply reloaded settings to a running agent.

    :param stop: the agent's shutdown controller.
    :param changed: the reloaded node settings.
    """
    stop.deadline = changed.grace_seconds


def register_counters(agent: RankAgent, replica: ReplicaClient) -> None:
    """Export counters of the agent's components as metrics.

    :param agent: the agent.
    :param replica: client of the local backend.
    """
    for owner, name, field in (
        (agent.datagram_socket, 'ospreyford_datagrams_sent', 'sent'),
        (agent.datagram_socket, 'ospreyford_datagrams_malformed', 'malformed'),
        (replica, 'ospreyford_rank_calls', 'calls'),
        (replica, 'ospreyford_rank_bad_answers', 'bad_answers'),
    ):
        text = 'Messages of this agent, or calls of the rank beside it.'
        serve_tally(agent.metrics.registry, name, text, owner, field)


async def serve(node: Node, log: ChangeLog, stop: Stop) -> None:
    """Run the agent until it stops.

    :param node: the node settings.
    :param log: event log.
    :param stop: shutdown controller.
    """
    settings = make_settings(node)
    log.log_change(Started('agent', node.name, ''))
    replica = ReplicaClient(settings.backend)
    agent = RankAgent(
        settings, AgentPorts(replica, open_remote_replica, log, SystemClock())
    )
    register_counters(agent, replica)
    reloader = SettingsReloader(node, partial(apply_settings, stop), log)
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(agent.run, stop)
        await group.spawn(reloader.run, stop.hung_up)
        await group.spawn(stop.watch)


def run(node: Node, listeners: Sequence[socket]) -> None:
    """Run the agent.

    :param node: the node settings.
    :param listeners: closed unused; agents do not accept callers.
    """
    hand_back_memory()
    for unused in listeners:
        unused.close()
    log = open_log(node)
    # The platform ends the grace by SIGKILL, never by a second SIGTERM.
    stop = Stop(node.grace_seconds, may_repeat=True)
    stop.record_signal = log.log_change
    stop.install()
    try:
        curio.run(serve, node, log, stop)
    finally:
        stop.finish()
        log.close()
