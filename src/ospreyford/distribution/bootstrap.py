"""Bootstrap of a fresh process from its peers or the service."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.distribution.freshness import ClockReading
    from ospreyford.distribution.members import Neighbours
    from ospreyford.distribution.messages import Digest
    from ospreyford.distribution.repair import Repair
    from ospreyford.distribution.state import State


class NotReadyReason(enum.StrEnum):
    """Why a fresh process has no complete snapshot yet."""

    peers_silent = 'peers silent'
    peers_unmerged = 'peers not wholly merged'
    too_few_peers = 'too few peers'
    asking_peers = 'asking peers'
    service_unread = 'service not read'


class Ready(NamedTuple):
    """The process holds a complete snapshot, at a revision."""

    revision: int


class NotReady(NamedTuple):
    """The process holds no complete snapshot yet."""

    reason: NotReadyReason


class ColdStartPermit:
    """Permission for a fresh process to bootstrap from the service.

    A fresh process holds no revision to detect a stale service by. It may read
    the service only after consecutive rounds in which every peer queried was
    fresh too. A pause ends the permit, as peers may have bootstrapped since.

    :param state: settings and clocks.
    """

    def __init__(self, state: State) -> None:
        self._state = state
        self._rounds = 0
        self._last_round: ClockReading | None = None

    def is_valid(self) -> bool:
        """Tell whether the service may be trusted now.

        :returns: ``False`` also when the last round is not recent.
        """
        enough = self._rounds >= self._state.settings.cold_start_rounds
        return enough and self._is_recent()

    def record_round(self, asked_at: ClockReading) -> None:
        """Record a round in which all peers were fresh.

        :param asked_at: clocks before its first request.
        """
        if not self._is_recent():
            self._rounds = 0
        self._rounds += 1
        self._last_round = asked_at

    def revoke(self) -> None:
        """Restart the count, after an unreachable or bootstrapped peer."""
        self._rounds = 0

    def _is_recent(self) -> bool:
        last_round = self._last_round
        return last_round is not None and self._state.freshness.is_recent(
            last_round
        )


class Bootstrap:
    """Bootstraps from peers, and permits a cold start if none has a snapshot.

    :param state: the process's documents.
    :param repair: pulls a peer's documents.
    :param neighbours: the members in view.
    :param permit: shared with the reader.
    """

    def __init__(
        self,
        state: State,
        repair: Repair,
        neighbours: Neighbours,
        permit: ColdStartPermit,
    ) -> None:
        self._state = state
        self._repair = repair
        self._neighbours = neighbours
        self._permit = permit

    async def run_round(self) -> Ready | NotReady:
        """Run one round.

        :returns: whether the process holds a complete snapshot now.
        """
        reason = None if self._state.bootstrapped else await self._query_peers()
        if reason is None or self._state.bootstrapped:
            return Ready(self._state.replica.revision)
        await self._state.clock.sleep(self._state.settings.bootstrap_seconds)
        return NotReady(reason)

    async def _query_peers(self) -> NotReadyReason | None:
        asked_at = self._state.freshness.read_clocks()
        count = self._state.settings.bootstrap_peers
        addresses = self._neighbours.sample_addresses(count)
        digests: dict[str, Digest | None] = {}
        while addresses:
            address = addresses.pop()
            digests[address] = await self._repair.fetch_digest(address)
        bootstrapped = [
            (address, digest)
            for address, digest in digests.items()
            if digest is not None and digest.bootstrapped
        ]
        if bootstrapped:
            self._permit.revoke()
            return await self._pull_from_peers(bootstrapped, asked_at)
        return self._evaluate_round(list(digests.values()), asked_at)

    async def _pull_from_peers(
        self, digests: list[tuple[str, Digest]], asked_at: ClockReading
    ) -> NotReadyReason | None:
        # Peers may differ while a change propagates: pull the newest first.
        digests.sort(key=_get_revision)
        while digests:
            address, digest = digests.pop()
            await self._repair.pull(address, digest, asked_at)
        if self._state.bootstrapped:
            return None
        return NotReadyReason.peers_unmerged

    def _evaluate_round(
        self, digests: list[Digest | None], asked_at: ClockReading
    ) -> NotReadyReason:
        if None in digests:
            # An unreachable peer may hold newer documents than the service.
            # Membership removes it from the view if it is dead.
            self._permit.revoke()
            return NotReadyReason.peers_silent
        if (
            self._neighbours.count_peers()
            < self._state.settings.cold_start_peers
        ):
            self._permit.revoke()
            return NotReadyReason.too_few_peers
        self._permit.record_round(asked_at)
        if self._permit.is_valid():
            return NotReadyReason.service_unread
        return NotReadyReason.asking_peers


def _get_revision(reply: tuple[str, Digest]) -> int:
    return reply[1].revision
