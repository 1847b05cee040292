"""The coordinator's access to the ranks of its group."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.rebalance.effects import compute_state_after
from ospreyford.rebalance.failuredetector import FailureDetector
from ospreyford.rebalance.group import (
    Done,
    Fenced,
    Guard,
    Hold,
    Order,
    Outcome,
    Prepare,
    RankState,
    Silent,
    Term,
)
from ospreyford.rebalance.mapcache import MapCache
from ospreyford.rebalance.messages import NO_MAP_VERSION, EncodedOrder
from ospreyford.rebalance.orderclient import OrderClient
from ospreyford.rebalance.ordercodec import encode_map_change, encode_order
from ospreyford.rebalance.participant import RankParticipant
from ospreyford.rebalance.ports import Reply
from ospreyford.rebalance.rankprober import RankProber
from ospreyford.rebalance.rankstates import RankStates
from ospreyford.rebalance.remoteranks import RemoteRanks

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.broadcast import TreeBroadcast
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.groupengine import GroupEngine
    from ospreyford.rebalance.groupsocket import GroupSocket
    from ospreyford.rebalance.incidents import GroupIncidents


class _CachedEncoding(NamedTuple):
    """Encodings of an order for all ranks that use the same map.

    :param order: the order.
    :param base_version: version of that map.
    :param encodings: alternative encodings, the shortest first.
    """

    order: Prepare
    base_version: int
    encodings: tuple[EncodedOrder, ...]


class GroupRanks:
    """Accesses each rank through its agent, or directly if that is silent.

    :param own_rank: the rank beside this agent.
    :param own_host: IP address of this agent's host.
    :param participant: carries out orders on this agent's rank.
    :param datagram_socket: sends messages to the group's agents.
    :param connect: returns the engine on a host as a member of the group, by
        its IP address.
    :param clock: source of time.
    :param tree_broadcast: sends a message to all agents.

    ``incidents`` records refused orders and foreign ranks, if set.
    """

    def __init__(
        self,
        own_rank: int,
        own_host: str,
        participant: RankParticipant,
        datagram_socket: GroupSocket,
        connect: Callable[[str], GroupEngine | None],
        clock: Clock,
        tree_broadcast: TreeBroadcast,
    ) -> None:
        self._states = RankStates(own_rank)
        self.agents = self._states.agents
        self.maps = MapCache()
        self.own_rank = own_rank
        self.own_host = own_host
        self.incidents: GroupIncidents | None = None
        self._participant = participant
        self._remote_ranks = RemoteRanks(connect, clock)
        self._clock = clock
        self._cached_encoding: _CachedEncoding | None = None
        self.failure_detector = FailureDetector(clock)
        self._prober = RankProber(
            self._remote_ranks, self.failure_detector, self._states, own_host
        )
        self.order_client = OrderClient(datagram_socket, tree_broadcast, clock)

    def read_states(self) -> Mapping[int, RankState]:
        """Read the latest known state of each rank.

        :returns: states by rank.
        """
        return self._states.by_rank

    def record_report(self, state: RankState, agent: Address) -> None:
        """Record an agent's report.

        :param state: state of the rank beside the agent.
        :param agent: the agent's address.
        """
        self.failure_detector.record_report(agent[0])
        self._states.record_agent(state, agent)

    async def probe_silent_ranks(
        self, members: Sequence[Address], unassigned: Sequence[Address] = ()
    ) -> list[tuple[int, GroupEngine]]:
        """Read the states of ranks whose agents are silent.

        Without them, no map change could start and no held pass be released.

        :param members: addresses of the group's agents.
        :param unassigned: addresses of agents that no group is known of; read
            as well while ranks are missing.
        :returns: the ranks that responded, with their engines.
        """
        self._prober.incidents = self.incidents
        return await self._prober.probe(members, unassigned)

    def record_state(self, state: RankState) -> None:
        """Record a rank's state unless a newer one is known.

        :param state: the state.
        """
        self._states.record(state)

    def record_map_switch(self, version: int) -> None:
        """Record that the armed map has become active.

        Otherwise, outdated reports would indicate an unfinished change.

        :param version: version of the active map.
        """
        self._states.record_map_switch(version)

    async def wait_for_pass(self, seconds: float) -> RankState | None:
        """Poll the rank beside this agent until a pass starts.

        :param seconds: time limit.
        :returns: the latest state, or ``None`` if the rank does not respond.
        """
        state = await self._participant.wait_for_pass(seconds)
        if state is not None:
            self.record_state(state)
        return state

    def select_holder(self, ranks: Sequence[int]) -> int:
        """Choose the rank at which a pass is held.

        :param ranks: the ranks of the group.
        :returns: a remote rank whose agent is reporting, if there is one;
            otherwise this agent's rank.
        """
        candidates = sorted(
            ranks, key=lambda rank: (rank <= self.own_rank, rank)
        )
        for rank in candidates:
            agent = self.agents.get(rank)
            if rank != self.own_rank and agent is not None:
                if not self.failure_detector.is_suspected(agent[0]):
                    return rank
        return self.own_rank

    async def broadcast(self, order: Prepare, term: Term) -> None:
        """Broadcast an order to all ranks.

        Outcomes are collected by :meth:`carry_out`, which also sends the order
        directly to agents that haven't responded.

        :param order: the order.
        :param term: the coordinator's token and the group's epoch.
        """
        delta_order, _ = self._encode(self.own_rank, order)
        await self.order_client.broadcast(
            order, term, delta_order, len(self.agents) + 1
        )

    async def carry_out(self, rank: int, order: Order, term: Term) -> Outcome:
        """Have a rank carry out an order.

        :param rank: the rank.
        :param order: the order.
        :param term: the coordinator's token and the group's epoch.
        :returns: the outcome of the order.
        """
        if rank == self.own_rank:
            outcome = await self._participant.carry_out(order, term)
        elif isinstance(order, Hold):
            outcome = await self._hold(rank, order, term)
        else:
            outcome = await self._request(rank, order, term)
        state = getattr(outcome, 'state', None)
        if state is not None:
            self.record_state(state)
        if self.incidents is not None:
            self.incidents.record_outcome(rank, order, term, outcome)
        return outcome

    async def _hold(self, rank: int, order: Hold, term: Term) -> Outcome:
        """Hold a pass at a rank directly, bypassing its agent.

        A freeze of either host then can't both hold the pass and make its rank
        unreachable for the other agents.
        """
        agent = self.agents.get(rank)
        known = self._states.by_rank.get(rank)
        engine = (
            None if agent is None else self._remote_ranks.find_engine(agent[0])
        )
        if engine is None or known is None:
            return await self._request(rank, order, term)
        match await self._remote_ranks.give(
            engine, order, Guard(*term, known.sequence)
        ):
            case Reply.accepted | Reply.already_applied as reply:
                return Done(
                    compute_state_after(
                        known, order, is_accepted=reply is Reply.accepted
                    )
                )
            case Reply.fenced:
                return Fenced()
        # The known state may be stale or the order delayed. The agent reads the
        # rank first, and the sequence number makes the rank reject duplicates.
        return await self._request(rank, order, term)

    async def _request(self, rank: int, order: Order, term: Term) -> Outcome:
        address = self.agents.get(rank)
        if address is None:
            return Silent()
        if self.failure_detector.is_suspected(address[0]):
            return await self._remote_ranks.carry_out(address[0], order, term)
        pending = await self.order_client.request(
            address, order, term, self._encode(rank, order)
        )
        if pending.outcome is not None:
            return pending.outcome
        if pending.is_acknowledged:
            return Silent()
        return await self._remote_ranks.carry_out(address[0], order, term)

    def _encode(self, rank: int, order: Order) -> tuple[EncodedOrder, ...]:
        if not isinstance(order, Prepare):
            return (encode_order(order),)
        known = self._states.by_rank.get(rank)
        base_version = NO_MAP_VERSION if known is None else known.version
        cached = self._cached_encoding
        if (
            cached is None
            or cached.order is not order
            or cached.base_version != base_version
        ):
            encodings = encode_map_change(order, base_version, self.maps)
            cached = _CachedEncoding(order, base_version, encodings)
            self._cached_encoding = cached
        return cached.encodings
