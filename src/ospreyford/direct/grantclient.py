"""Requests of an entry for sendings, and the callers that wait for them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from ospreyford.direct.freshness import read_boot_clock

if TYPE_CHECKING:
    from ospreyford.rebalance.datagrams import Address, DatagramSocket
    from ospreyford.sendgrants.book import GrantBook
    from ospreyford.sendgrants.messages import SendingGrant

#: Shortest wait of a caller between two looks.
MIN_WAIT_SECONDS: Final = 0.01


class GrantClient:
    """Asks agents for sendings while callers wait.

    :param book: what is asked for and held.
    """

    def __init__(self, book: GrantBook) -> None:
        self.transport: DatagramSocket | None = None
        self._book = book
        #: Set by the next reply, by backend.
        self._replies: dict[str, curio.Event] = {}

    async def obtain(self, backend: str, rate: float, until: float) -> bool:
        """Wait for a sending to a backend.

        :param backend: name of the backend's process.
        :param rate: requests per second that it takes from all entries.
        :param until: end of the wait, in seconds on the boot clock.
        :returns: whether one is held now; others may use it after an await.
        """
        book = self._book
        book.join(backend, 1)
        try:
            while not book.holds(backend, read_boot_clock()):
                await self._ask(backend, rate)
                now = read_boot_clock()
                next_at = book.find_next(backend, now)
                if next_at > until or now >= until:
                    break
                await self._wait_for_reply(backend, next_at - now)
        finally:
            book.join(backend, -1)
            if not book.count_waiting(backend):
                self._replies.pop(backend, None)
        return book.holds(backend, read_boot_clock())

    def update_agents(self, agents: set[Address]) -> None:
        """Update the agents that may be asked.

        :param agents: their addresses.
        """
        self._book.arbiters.update(agents)

    async def handle_grant(self, grant: SendingGrant, agent: Address) -> None:
        """Apply an agent's reply.

        :param grant: the reply.
        :param agent: the agent's address.
        """
        backend = self._book.record_grant(grant, agent, read_boot_clock())
        event = self._replies.pop(backend, None) if backend else None
        if event is not None:
            await event.set()

    async def _ask(self, backend: str, rate: float) -> None:
        question = self._book.ask(backend, rate, read_boot_clock())
        if question is not None and self.transport is not None:
            await self.transport.send(question.message, question.agent)

    async def _wait_for_reply(self, backend: str, seconds: float) -> None:
        event = self._replies.setdefault(backend, curio.Event())
        async with curio.ignore_after(max(seconds, MIN_WAIT_SECONDS)):
            await event.wait()
