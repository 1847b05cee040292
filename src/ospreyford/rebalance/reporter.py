"""Periodic reports of a rank's state and load."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ospreyford.rebalance.datagrams import DATAGRAM_HEADER_BYTES
from ospreyford.rebalance.loadaggregator import LoadAggregator
from ospreyford.rebalance.memberstates import strip_group
from ospreyford.rebalance.messages import PartialLoad, RankReport, encode
from ospreyford.rebalance.tree import TREE_DEGREE, find_parent, order_members

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.groupsocket import GroupSocket
    from ospreyford.rebalance.settings import AgentSettings
    from ospreyford.rebalance.watcher import RankWatcher

#: Limits on the share of a receiver's link that reports may use.
STATE_LINK_FRACTION: Final = 0.15
LOAD_LINK_FRACTION: Final = 0.3
#: Only a coordinator that lacks the active map needs a rank's experts.
EXPERTS_INTERVAL_SECONDS: Final = 0.5


class Reporter:
    """Reports the state and the load of the rank beside an agent.

    The state is sent to the coordinator directly; the load is aggregated along
    the tree of agents.

    :param settings: the agent's settings.
    :param datagram_socket: sends messages to the group's agents.
    :param watcher: polls the rank.
    :param clock: source of time.

    ``members`` are the addresses of all agents of the group, sorted.
    """

    def __init__(
        self,
        settings: AgentSettings,
        datagram_socket: GroupSocket,
        watcher: RankWatcher,
        clock: Clock,
    ) -> None:
        self.members: Sequence[Address] = ()
        self.sums = LoadAggregator(clock)
        self._settings = settings
        self._own_address = settings.datagrams
        self._datagram_socket = datagram_socket
        self._watcher = watcher
        self._clock = clock
        self._state_bytes = 0
        self._next_load_at: float = 0
        self._next_experts_at: float = 0
        self._experts_sent_to: Address | None = None

    def compute_interval(self) -> float:
        """Compute the time until the next report.

        :returns: seconds.
        """
        ranks = self._watcher.count_ranks()
        return compute_state_interval(self._settings, ranks, self._state_bytes)

    def build_report(self, leader: Address) -> RankReport | None:
        """Build a report for the coordinator.

        :param leader: the coordinator's address.
        :returns: the report, or ``None`` if the rank does not respond.
        """
        return self._build_report(leader, self._find_parent(leader))

    async def send_report(self, leader: Address) -> None:
        """Send the state to the coordinator, and the load to the parent if due.

        :param leader: the coordinator's address.
        """
        parent = self._find_parent(leader)
        report = self._build_report(leader, parent)
        if report is None:
            return
        datagram = encode(report)
        if report.partial_load is None and not report.experts:
            self._state_bytes = len(datagram)
        await self._datagram_socket.send_bytes(datagram, leader)
        if parent is not None:
            load = self._build_due_load()
            if load is not None:
                await self._datagram_socket.send(load, parent)

    def _build_report(
        self, leader: Address, parent: Address | None
    ) -> RankReport | None:
        state = self._watcher.state
        if state is None:
            return None
        load = self._build_due_load() if parent is None else None
        return RankReport(
            strip_group(state), self._select_due_experts(leader), load
        )

    def _find_parent(self, leader: Address) -> Address | None:
        ordered = order_members(self.members, leader, self.sums.rotation)
        return find_parent(ordered, self._own_address)

    def _build_due_load(self) -> PartialLoad | None:
        now = self._clock.monotonic()
        if now < self._next_load_at:
            return None
        load = self.sums.aggregate(
            self._watcher.encode_shares(), self._watcher.counted_at
        )
        self._next_load_at = now + compute_load_interval(
            self._settings, self._watcher.count_ranks(), len(load.load.levels)
        )
        return load

    def _select_due_experts(
        self, leader: Address
    ) -> tuple[tuple[int, ...], ...]:
        now = self._clock.monotonic()
        if now < self._next_experts_at and leader == self._experts_sent_to:
            return ()
        self._next_experts_at = now + EXPERTS_INTERVAL_SECONDS
        self._experts_sent_to = leader
        return self._watcher.list_experts()


def compute_state_interval(
    settings: AgentSettings, rank_count: int, state_bytes: int
) -> float:
    """Compute the interval between reports of a rank's state.

    Reports that exceed the coordinator's bandwidth would displace responses
    and heartbeats.

    :param settings: the agent's settings.
    :param rank_count: number of ranks reporting to the same coordinator.
    :param state_bytes: size of the last report with only a state, in bytes.
    :returns: seconds.
    """
    round_bytes = rank_count * (state_bytes + DATAGRAM_HEADER_BYTES)
    round_seconds = round_bytes / (STATE_LINK_FRACTION * settings.link_bytes)
    return max(settings.pace.report, round_seconds)


def compute_load_interval(
    settings: AgentSettings, rank_count: int, load_bytes: int
) -> float:
    """Compute the interval between reports of a rank's load.

    :param settings: the agent's settings.
    :param rank_count: number of ranks in the group.
    :param load_bytes: size of the last load, in bytes.
    :returns: seconds.
    """
    child_count = min(rank_count - 1, TREE_DEGREE)
    round_bytes = child_count * (load_bytes + DATAGRAM_HEADER_BYTES)
    round_seconds = round_bytes / (LOAD_LINK_FRACTION * settings.link_bytes)
    return max(settings.pace.report, round_seconds)
