"""Replication of published documents in one process."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from ospreyford.distribution.bootstrap import (
    Bootstrap,
    ColdStartPermit,
    NotReady,
    Ready,
)
from ospreyford.distribution.codec import (
    BadPeerMessage,
    decode_message,
    encode_message,
)
from ospreyford.distribution.entries import Entry
from ospreyford.distribution.exchange import PeerExchange
from ospreyford.distribution.gossip import Gossip
from ospreyford.distribution.handlers import RequestHandlers
from ospreyford.distribution.members import Member, Members, Neighbours
from ospreyford.distribution.messages import Digest
from ospreyford.distribution.reader import Reader
from ospreyford.distribution.repair import Repair
from ospreyford.distribution.state import Counters, State, Subscriber

if TYPE_CHECKING:
    from ospreyford.distribution.service import DocumentSource
    from ospreyford.distribution.settings import DistributionSettings
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.peers import PeerPort


class Distributor:
    """Keeps this process's documents at the newest known revision.

    Run :meth:`run_gossip` and :meth:`run_reader` each in a task from the
    start, and accept no work until :meth:`bootstrap` returns :class:`Ready`.

    :param settings: of the distribution.
    :param me: this process.
    :param source: the configuration service and the validity check.
    :param peers: messaging between processes.
    :param members: the live processes.
    :param clock: the process's clock.
    :param rng: for random choices and jitter.
    """

    def __init__(
        self,
        settings: DistributionSettings,
        me: Member,
        source: DocumentSource,
        peers: PeerPort,
        members: Members,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._state = State(settings, clock, source.is_well_formed)
        exchange = PeerExchange(self._state, peers)
        neighbours = Neighbours(me, members, rng)
        self._permit = ColdStartPermit(self._state)
        self._repair = Repair(
            self._state, exchange, neighbours, me.peer_address
        )
        self._handlers = RequestHandlers(self._state, exchange)
        self._bootstrap = Bootstrap(
            self._state, self._repair, neighbours, self._permit
        )
        self._gossip = Gossip(
            self._state, exchange, neighbours, self._repair, rng
        )
        self._reader = Reader(
            self._state, source.service, neighbours, self._permit, rng
        )

    @property
    def counters(self) -> Counters:
        """Counts since the start of the process."""
        return self._state.counters

    async def run_reader(self) -> None:
        """Watch the service whenever this process is an elected reader."""
        await self._reader.run()

    async def run_gossip(self) -> None:
        """Propagate changes and run anti-entropy with peers, forever."""
        await self._gossip.run()

    async def bootstrap(self) -> Ready | NotReady:
        """Run one round of the bootstrap.

        :returns: ``Ready`` once the snapshot is complete, and from then on;
            ``NotReady`` with the reason, after a short wait.
        """
        return await self._bootstrap.run_round()

    async def flush(self) -> None:
        """Offer pending changes to peers before a planned shutdown."""
        await self._gossip.flush()

    def snapshot(self) -> tuple[Entry, ...]:
        """List all entries, tombstones included, by revision.

        :returns: the entries, also during bootstrap; where the newest version
            of a document is malformed, its last good version too.
        """
        return tuple(self._state.replica)

    def subscribe(self, subscriber: Subscriber) -> None:
        """Subscribe to changes.

        :param subscriber: called with all entries once the first snapshot is
            complete, then with changed entries.
        """
        self._state.subscribe(subscriber)

    def is_stale(self) -> bool:
        """Tell whether the documents have not been checked recently.

        :returns: ``True`` after a pause or partition, until the next check
            against a peer or the service.
        """
        return self._state.freshness.is_stale()

    def encode_digest(self) -> bytes:
        """Encode the digest, for piggybacking on a membership probe.

        :returns: about 30 bytes.
        """
        return encode_message(self._state.build_digest())

    def handle_digest(self, address: str, body: bytes) -> None:
        """Handle a digest piggybacked on a membership probe.

        :param address: the peer's address.
        :param body: its digest.
        """
        try:
            peer_digest = decode_message(body, Digest)
        except BadPeerMessage:
            self._state.counters.bad_messages += 1
            return
        if peer_digest.bootstrapped:
            self._permit.revoke()
        self._repair.handle_digest(address, peer_digest)
