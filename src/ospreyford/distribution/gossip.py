"""Gossip of changes and periodic anti-entropy with peers."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from ospreyford.distribution.codec import encode_message
from ospreyford.distribution.entries import Entry, make_head
from ospreyford.distribution.handlers import build_page
from ospreyford.distribution.jitter import add_jitter
from ospreyford.distribution.messages import Delta, Offer, Topic, WantedNames
from ospreyford.distribution.rumours import ByteBudget

if TYPE_CHECKING:
    from ospreyford.distribution.exchange import PeerExchange
    from ospreyford.distribution.members import Neighbours
    from ospreyford.distribution.repair import Repair
    from ospreyford.distribution.state import State

#: Rounds that a process spends on pending rumours before shutdown.
MAX_FLUSH_ROUNDS = 8


class Gossip:
    """Offers rumours to random peers, and compares digests periodically.

    :param state: the process's documents.
    :param exchange: sends the requests.
    :param neighbours: the members in view.
    :param repair: compares digests.
    :param rng: for jitter.
    """

    def __init__(
        self,
        state: State,
        exchange: PeerExchange,
        neighbours: Neighbours,
        repair: Repair,
        rng: Random,
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._neighbours = neighbours
        self._repair = repair
        self._rng = rng
        self._budget = ByteBudget(state.settings, state.clock)
        self._next_compare_at = state.clock.monotonic()

    async def run(self) -> None:
        """Run rounds forever."""
        while True:
            seconds = self._state.settings.gossip_seconds
            await self._state.clock.sleep(add_jitter(self._rng, seconds))
            await self.run_round()

    async def run_round(self) -> None:
        """Run one round."""
        await self._offer_to_peers()
        await self._repair.run_queued()
        self._state.collect_tombstones()
        await self._compare_when_due()

    async def flush(self) -> None:
        """Offer pending rumours before shutdown.

        Otherwise a change held by this process alone could be lost while the
        service answers from a stale replica.
        """
        rounds = MAX_FLUSH_ROUNDS
        while rounds and self._state.rumours.select_names():
            await self._offer_to_peers()
            rounds -= 1

    async def _offer_to_peers(self) -> None:
        chosen = self._neighbours.sample_addresses(self._state.settings.fanout)
        while chosen:
            await self._offer(chosen.pop())

    async def _compare_when_due(self) -> None:
        now = self._state.clock.monotonic()
        if now < self._next_compare_at:
            return
        seconds = self._state.settings.digest_seconds
        self._next_compare_at = now + add_jitter(self._rng, seconds)
        chosen = self._neighbours.sample_addresses(1)
        if chosen:
            await self._repair.compare(chosen[0])

    async def _offer(self, address: str) -> None:
        names = self._state.rumours.select_names()
        if not names:
            return
        held = [
            entry for name in names for entry in self._state.replica.find(name)
        ]
        self._state.counters.offers += 1
        self._state.rumours.record_offer(names)
        offer = Offer(tuple(map(make_head, held)))
        reply = await self._exchange.send_request(
            address, Topic.offer, offer, WantedNames
        )
        if reply is None:
            return
        wanted = set(reply.names)
        self._state.rumours.record_known(
            [name for name in names if name not in wanted]
        )
        await self._push(address, [one for one in held if one.name in wanted])

    async def _push(self, address: str, entries: list[Entry]) -> None:
        while entries:
            if not self._budget.has_budget():
                self._state.counters.push_deferred += 1
                return
            page = build_page(entries, self._state.settings.page_bytes)
            delta = Delta(page.entries)
            self._budget.consume(len(encode_message(delta)))
            reply = await self._exchange.send_request(
                address, Topic.push, delta, WantedNames
            )
            if reply is None:
                return
            self._state.counters.pushed_entries += len(page.entries)
            entries = entries[len(page.entries) :]
