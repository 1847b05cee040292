"""The ranks of a group, as their coordinator reaches them."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, NamedTuple

import curio

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
from ospreyford.rebalance.remoteranks import RemoteRanks

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.broadcast import TreeBroadcast
    from ospreyford.rebalance.datagrams import Address, DatagramSocket
    from ospreyford.rebalance.ports import EnginePort


class _CachedEncoding(NamedTuple):
    """An order as it is sent to all ranks that use the same map.

    :param order: the order.
    :param base: version of the map that they use.
    :param frames: the order in several forms, the shortest first.
    """

    order: Prepare
    base_version: int
    encodings: tuple[EncodedOrder, ...]


class GroupRanks:
    """Reaches each rank through its agent, or directly if that is silent.

    :param me: the rank beside this agent.
    :param my_host: IP number of this agent's host.
    :param member: carries out orders on that rank.
    :param post: the process's datagrams.
    :param reach: reaches a rank by its IP number, without an agent.
    :param clock: source of time.
    :param relays: sends a message to all agents.
    """

    def __init__(
        self,
        own_rank: int,
        own_host: str,
        member: RankParticipant,
        datagram_socket: DatagramSocket,
        connect: Callable[[str], EnginePort | None],
        clock: Clock,
        tree_broadcast: TreeBroadcast,
    ) -> None:
        self.agents: dict[int, Address] = {}
        self.maps = MapCache()
        self.own_rank = own_rank
        self.own_host = own_host
        self._member = member
        self._remote_ranks = RemoteRanks(connect, clock)
        self._clock = clock
        self._states: dict[int, RankState] = {}
        self._cached_encoding: _CachedEncoding | None = None
        self.silent = FailureDetector(clock)
        self.order_client = OrderClient(datagram_socket, tree_broadcast, clock)

    def read_states(self) -> Mapping[int, RankState]:
        """Read the newest known state of each rank.

        :returns: by rank.
        """
        return self._states

    def record_report(self, state: RankState, agent: Address) -> None:
        """Take over an agent's report.

        :param state: of the rank beside it.
        :param agent: the agent's address.
        """
        self.agents[state.rank] = agent
        self.silent.record_report(agent[0])
        self.record_state(state)

    async def probe_silent_ranks(
        self, members: Sequence[Address]
    ) -> list[tuple[int, EnginePort]]:
        """Look directly at the ranks whose agents are silent.

        An agent that is frozen or cut off says nothing of a rank that goes on
        stepping. Without its state the group could not be changed, nor, if an
        earlier coordinator left it held, be let go.

        :param members: the agents of the group.
        :returns: the ranks that were looked at, and how they are reached.
        """
        silent_agents = [
            address
            for address in members
            if address[0] != self.own_host and self.silent.try_probe(address[0])
        ]
        # One after the other, the hosts of an availability zone that is cut
        # off would hold up all plans for as many time limits.
        async with curio.TaskGroup() as group:
            probes = [
                await group.spawn(self._probe, one) for one in silent_agents
            ]
        return [look.result for look in probes if look.result is not None]

    def record_state(self, state: RankState) -> None:
        """Take over what a rank shows.

        :param state: its state.
        """
        known = self._states.get(state.rank)
        if known is not None and _get_recency_key(known) > _get_recency_key(
            state
        ):
            return
        self._states[state.rank] = state

    def record_map_switch(self, version: int) -> None:
        """Note that a pass has begun for which all ranks were armed.

        What the others reported is some passes old: taken for the present, it
        would look like a group in the middle of a change.

        :param version: of the map that is in force now.
        """
        for rank, state in tuple(self._states.items()):
            if state.armed is not None and state.armed.version == version:
                self._states[rank] = state._replace(
                    version=version, prepared=None, armed=None
                )

    async def wait_for_pass(self, seconds: float) -> RankState | None:
        """Look at the rank beside this agent until a pass begins.

        :param seconds: how long to look at most.
        :returns: the newest state, or ``None`` if the rank does not answer.
        """
        state = await self._member.wait_for_pass(seconds)
        if state is not None:
            self.record_state(state)
        return state

    def select_holder(self, ranks: Sequence[int]) -> int:
        """Choose the rank at which a pass is held.

        :param ranks: the ranks of the group.
        :returns: one whose agent is heard of, another than this agent's own if
            there is one.
        """
        candidates = sorted(
            ranks, key=lambda rank: (rank <= self.own_rank, rank)
        )
        for rank in candidates:
            agent = self.agents.get(rank)
            if rank != self.own_rank and agent is not None:
                if not self.silent.is_suspected(agent[0]):
                    return rank
        return self.own_rank

    async def broadcast(self, order: Prepare, term: Term) -> None:
        """Send an order to all ranks, through the tree of their agents.

        Each rank is asked for its outcome, as ever, by :meth:`carry_out`, which
        sends the order directly to those that have not answered in time.

        :param order: the order.
        :param term: whose order it is, and for which epoch.
        """
        delta_order, _ = self._encode(self.own_rank, order)
        await self.order_client.broadcast(
            order, term, delta_order, len(self.agents) + 1
        )

    async def carry_out(self, rank: int, order: Order, term: Term) -> Outcome:
        """Have a rank carry out an order.

        :param rank: the rank.
        :param order: the order.
        :param term: whose order it is, and for which epoch.
        :returns: what came of it.
        """
        if rank == self.own_rank:
            outcome = await self._member.carry_out(order, term)
        elif isinstance(order, Hold):
            outcome = await self._hold(rank, order, term)
        else:
            outcome = await self._request(rank, order, term)
        state = getattr(outcome, 'state', None)
        if state is not None:
            self.record_state(state)
        return outcome

    async def _probe(self, address: Address) -> tuple[int, EnginePort] | None:
        engine = self._remote_ranks.find_engine(address[0])
        state = None if engine is None else await engine.read_state()
        if engine is None or state is None:
            return None
        self.agents[state.rank] = address
        self.record_state(state)
        return state.rank, engine

    async def _hold(self, rank: int, order: Hold, term: Term) -> Outcome:
        """Hold a pass at a rank from here, without the agent beside it.

        A host that freezes takes its rank out of reach. Held by its own agent,
        the group stood still for as long as the freeze that met that agent
        with the hold just given: nobody else can let the pass begin. Held from
        here, the rank stays in reach when this host freezes. The order from
        afar has its price; it takes one exchange in place of three.
        """
        agent = self.agents.get(rank)
        known = self._states.get(rank)
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
        # What is known of the rank may be too old, or the order is on its way
        # still: the agent reads the rank first, and a late order is refused
        # for its sequence number.
        return await self._request(rank, order, term)

    async def _request(self, rank: int, order: Order, term: Term) -> Outcome:
        address = self.agents.get(rank)
        if address is None:
            return Silent()
        if self.silent.is_suspected(address[0]):
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
        known = self._states.get(rank)
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


def _get_recency_key(state: RankState) -> tuple[int, int, int, int]:
    """Tell which of two states of one rank is newer.

    Datagrams overtake each other. Within an epoch a rank goes back only when
    its process starts again: its numbers begin at zero, and without its start
    the old ones would stand until they were passed.
    """
    return (state.epoch, state.born_ms, state.sequence, state.step)
