"""What all sessions of an agent share."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.rebalance.agentports import AgentPorts
    from ospreyford.rebalance.datagrams import DatagramSocket
    from ospreyford.rebalance.entryregistry import EntryRegistry
    from ospreyford.rebalance.metrics import AgentMetrics
    from ospreyford.rebalance.settings import AgentSettings


class AgentContext(NamedTuple):
    """What all sessions of an agent share.

    :param settings: the agent's settings.
    :param ports: the agent's external dependencies.
    :param datagram_socket: the process's socket.
    :param entries: the entries in contact with this agent.
    :param metrics: metrics of the agent.
    """

    settings: AgentSettings
    ports: AgentPorts
    datagram_socket: DatagramSocket
    entries: EntryRegistry
    metrics: AgentMetrics
