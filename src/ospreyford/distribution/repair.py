"""Anti-entropy: comparison of digests with peers and repair."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from ospreyford.distribution.messages import Digest, DigestRequest, Topic
from ospreyford.distribution.pull import Pull

if TYPE_CHECKING:
    from ospreyford.distribution.exchange import PeerExchange
    from ospreyford.distribution.freshness import ClockReading
    from ospreyford.distribution.members import Neighbours
    from ospreyford.distribution.state import State

MAX_QUEUED_PEERS = 8


class Repair:
    """Pull anti-entropy with one peer at a time.

    :param state: the process's documents.
    :param exchange: sends the requests.
    :param neighbours: the members in view.
    :param address: this process's own address.
    """

    def __init__(
        self,
        state: State,
        exchange: PeerExchange,
        neighbours: Neighbours,
        address: str,
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._neighbours = neighbours
        self._address = address
        self._pull = Pull(state, exchange)
        self._queue: OrderedDict[str, None] = OrderedDict()
        exchange.register_handler(
            Topic.digest, DigestRequest, self._handle_digest_request
        )

    def handle_digest(self, address: str, peer_digest: Digest) -> None:
        """Handle an unsolicited digest of a peer.

        It may have been buffered during a pause, so it can trigger a pull but
        does not count as a check.

        :param address: the peer's address.
        :param peer_digest: its digest.
        """
        if not self._pull.holds_all(peer_digest) or (
            peer_digest.bootstrapped and not self._state.bootstrapped
        ):
            self._queue[address] = None
            if len(self._queue) > MAX_QUEUED_PEERS:
                self._queue.popitem(last=False)

    async def run_queued(self) -> None:
        """Compare with the peer that was queued last, if any."""
        if self._queue:
            await self.compare(self._queue.popitem()[0])

    async def compare(self, address: str) -> bool:
        """Exchange digests with a peer and pull missing entries.

        :param address: the peer's address.
        :returns: whether all its entries are held now.
        """
        asked_at = self._state.freshness.read_clocks()
        peer_digest = await self.fetch_digest(address)
        return peer_digest is not None and await self.pull(
            address, peer_digest, asked_at
        )

    async def fetch_digest(self, address: str) -> Digest | None:
        """Fetch the digest of a peer.

        :param address: the peer's address.
        :returns: the digest, or ``None`` without a valid reply.
        """
        request = DigestRequest(self._address, self._state.build_digest())
        return await self._exchange.send_request(
            address, Topic.digest, request, Digest
        )

    async def pull(
        self, address: str, peer_digest: Digest, asked_at: ClockReading
    ) -> bool:
        """Pull missing entries from a peer.

        :param address: the peer's address.
        :param peer_digest: its digest, from a reply.
        :param asked_at: clocks before the request for it was sent.
        :returns: whether all its entries are held now.
        """
        if not await self._pull.pull_missing(address, peer_digest):
            return False
        state = self._state
        if peer_digest.bootstrapped:
            state.raise_floor(peer_digest.floor)
            state.raise_complete_revision(peer_digest.complete_revision)
            state.mark_bootstrapped()
            self._record_check(address, peer_digest, asked_at)
        return True

    def _handle_digest_request(self, request: DigestRequest) -> Digest:
        self.handle_digest(request.address, request.digest)
        return self._state.build_digest()

    def _record_check(
        self, address: str, peer_digest: Digest, asked_at: ClockReading
    ) -> None:
        freshness = self._state.freshness
        if peer_digest.stale:
            live_count = self._neighbours.count_peers()
            freshness.record_stale_peer_check(asked_at, address, live_count)
        else:
            freshness.record_check(asked_at)
