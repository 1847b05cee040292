"""Reading of ranks whose agents are silent or not known."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, Final

import curio

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.failuredetector import FailureDetector
    from ospreyford.rebalance.groupengine import GroupEngine, Reading
    from ospreyford.rebalance.incidents import GroupIncidents
    from ospreyford.rebalance.rankstates import RankStates
    from ospreyford.rebalance.remoteranks import RemoteRanks

#: Time for which a rank of another group is not read again.
FOREIGN_SECONDS: Final = 3.0
#: The same for a host without a known group that does not respond.
UNASSIGNED_SECONDS: Final = 1.0
#: Hosts without a known group that are read at a time.
MAX_UNASSIGNED_PROBES: Final = 8


class RankProber:
    """Reads ranks in place of their agents.

    :param remote_ranks: the ranks on other hosts.
    :param failure_detector: tells which agents are silent.
    :param states: records what is read.
    :param own_host: IP address of this agent's host.

    ``incidents`` counts foreign ranks, if set.
    """

    def __init__(
        self,
        remote_ranks: RemoteRanks,
        failure_detector: FailureDetector,
        states: RankStates,
        own_host: str,
    ) -> None:
        self.incidents: GroupIncidents | None = None
        self._remote_ranks = remote_ranks
        self._failure_detector = failure_detector
        self._states = states
        self._own_host = own_host

    async def probe(
        self, members: Sequence[Address], unassigned: Sequence[Address]
    ) -> list[tuple[int, GroupEngine]]:
        """Read ranks whose agents are silent.

        :param members: addresses of the group's agents.
        :param unassigned: addresses of agents that no group is known of; read
            only while ranks are missing.
        :returns: the ranks that responded, with their engines.
        """
        asked = list(self._select_due(members))
        if self._states.is_missing_any():
            others = self._select_due(unassigned)
            asked.extend(islice(others, MAX_UNASSIGNED_PROBES))
        # Concurrently, so that the timeouts of a partitioned availability zone
        # don't add up.
        async with curio.TaskGroup() as group:
            probes = [
                await group.spawn(self._probe, one, one in members)
                for one in asked
            ]
        return [look.result for look in probes if look.result is not None]

    def _select_due(self, agents: Sequence[Address]) -> Iterator[Address]:
        for address in agents:
            is_remote = address[0] != self._own_host
            if is_remote and self._failure_detector.try_probe(address[0]):
                yield address

    async def _probe(
        self, address: Address, is_member: bool
    ) -> tuple[int, GroupEngine] | None:
        engine = self._remote_ranks.find_engine(address[0])
        if engine is None:
            return None
        reading = await engine.read_member()
        if reading.state is None:
            self._record_none(address, reading, is_member)
            return None
        self._states.record_agent(reading.state, address)
        return reading.state.rank, engine

    def _record_none(
        self, address: Address, reading: Reading, is_member: bool
    ) -> None:
        if reading.is_foreign:
            self._failure_detector.postpone_probe(address[0], FOREIGN_SECONDS)
            self._states.forget_agent(address)
            if self.incidents is not None:
                self.incidents.record_foreign()
        elif not is_member:
            self._failure_detector.postpone_probe(
                address[0], UNASSIGNED_SECONDS
            )
