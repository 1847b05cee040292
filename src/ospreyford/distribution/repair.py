"""Comparing with a peer and pulling what this process has missed."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from ospreyford.distribution.messages import Digest, Greeting, Topic
from ospreyford.distribution.pull import Pull

if TYPE_CHECKING:
    from ospreyford.distribution.exchange import Exchange
    from ospreyford.distribution.freshness import ClockReading
    from ospreyford.distribution.members import Neighbours
    from ospreyford.distribution.state import State

QUEUE_LIMIT = 8


class Repair:
    """Pull anti-entropy, a peer at a time.

    :param state: what the process knows.
    :param exchange: carries the questions.
    :param neighbours: the members in view.
    :param address: this process's own address.
    """

    def __init__(
        self,
        state: State,
        exchange: Exchange,
        neighbours: Neighbours,
        address: str,
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._neighbours = neighbours
        self._address = address
        self._pull = Pull(state, exchange)
        self._queue: OrderedDict[str, None] = OrderedDict()
        exchange.serve(Topic.digest, Greeting, self._answer)

    def note(self, address: str, theirs: Digest) -> None:
        """Consider a digest that a peer sent of its own accord.

        It may have waited in a socket while this process was paused, so it
        says that there is something to pull, but never that nothing is.

        :param address: the peer's address.
        :param theirs: its digest.
        """
        if not self._pull.holds(theirs) or (
            theirs.settled and not self._state.settled
        ):
            self._queue[address] = None
            if len(self._queue) > QUEUE_LIMIT:
                self._queue.popitem(last=False)

    async def run_queued(self) -> None:
        """Compare with one peer that seems to hold something newer."""
        if self._queue:
            await self.compare(self._queue.popitem()[0])

    async def compare(self, address: str) -> bool:
        """Exchange digests with a peer and pull what is missing.

        :param address: the peer's address.
        :returns: whether all that it holds is now held here.
        """
        asked = self._state.freshness.read_clocks()
        theirs = await self.ask_digest(address)
        return theirs is not None and await self.pull(address, theirs, asked)

    async def ask_digest(self, address: str) -> Digest | None:
        """Ask a peer for its digest.

        :param address: the peer's address.
        :returns: the digest, or ``None`` on silence.
        """
        greeting = Greeting(self._address, self._state.digest())
        return await self._exchange.ask(address, Topic.digest, greeting, Digest)

    async def pull(self, address: str, theirs: Digest, asked: ClockReading) -> bool:
        """Pull what a peer holds and this process lacks.

        :param address: the peer's address.
        :param theirs: its digest, in answer to a question.
        :param asked: the moment before that question.
        :returns: whether all that it holds is now held here.
        """
        if not await self._pull.merge(address, theirs):
            return False
        state = self._state
        if theirs.settled:
            state.adopt_floor(theirs.floor)
            state.adopt_complete(theirs.complete)
            state.settle()
            self._confirm(address, theirs, asked)
        return True

    def _answer(self, greeting: Greeting) -> Digest:
        self.note(greeting.address, greeting.digest)
        return self._state.digest()

    def _confirm(self, address: str, theirs: Digest, asked: ClockReading) -> None:
        freshness = self._state.freshness
        if theirs.stale:
            live = self._neighbours.count_peers()
            freshness.record_stale_peer_check(asked, address, live)
        else:
            freshness.record_check(asked)
