"""The published documents, as one process holds and relays them."""

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
    """Keeps this process's documents at the newest revision known.

    Run :meth:`run_gossip` and :meth:`run_reader` each in a task from the
    start, and call :meth:`bootstrap` until it returns :class:`Ready`; take
    no work before.

    :param settings: of the distribution.
    :param me: this process.
    :param source: the configuration service, and the judge of its texts.
    :param peers: questions and answers between processes.
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
        """Watch the service whenever this process is a reader, for ever."""
        await self._reader.run()

    async def run_gossip(self) -> None:
        """Spread changes and compare with peers, for ever."""
        await self._gossip.run()

    async def bootstrap(self) -> Ready | NotReady:
        """Make one round towards the first picture.

        :returns: ``Ready`` once there is a whole picture, and from then on;
            ``NotReady`` with the reason, after a short wait.
        """
        return await self._bootstrap.run_round()

    async def flush(self) -> None:
        """Tell peers the last changes, before a planned stop."""
        await self._gossip.flush()

    def snapshot(self) -> tuple[Entry, ...]:
        """Give all documents, tombstones included, by revision.

        :returns: what is held, also while there is no whole picture; of a
            document whose newest version is malformed also the last good one.
        """
        return tuple(self._state.replica)

    def subscribe(self, subscriber: Subscriber) -> None:
        """Have changes told.

        :param subscriber: called with all entries once the first picture is
            whole, then with the changed ones.
        """
        self._state.subscribe(subscriber)

    def is_stale(self) -> bool:
        """Tell whether the picture has not been checked lately.

        :returns: ``True`` after a pause and while cut off, until a peer or
            the service has been asked again.
        """
        return self._state.freshness.is_stale()

    def encode_digest(self) -> bytes:
        """Sum up what is held, to ride on a membership probe.

        :returns: some 30 bytes.
        """
        return encode_message(self._state.build_digest())

    def handle_digest(self, address: str, body: bytes) -> None:
        """Consider a digest that came with a membership probe.

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
