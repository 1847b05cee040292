"""Choice of the agent that grants the sendings to a backend."""

from __future__ import annotations

from heapq import nsmallest
from typing import TYPE_CHECKING, Final, NamedTuple

import xxhash

from ospreyford.sendgrants.bounds import GRANT_FRACTIONS

if TYPE_CHECKING:
    from collections.abc import Collection

    from ospreyford.rebalance.entrymessages import Address

#: Requests without a reply after which an agent is passed over, and for how
#: long. One may be lost.
MAX_LOSSES: Final = 2
SILENCE_SECONDS: Final = 5.0


class Arbiter(NamedTuple):
    """The agent that grants the sendings to a backend.

    :param address: its address.
    :param rank: its place in the order of the agents for the backend.
    """

    address: Address
    rank: int


class ArbiterTable:
    """Agents of which each backend has one that grants sendings to it.

    All entries find the same one, by rendezvous hashing, as long as they know
    the same agents and hear from them.
    """

    def __init__(self) -> None:
        self._agents: tuple[Address, ...] = ()
        self._losses: dict[Address, int] = {}
        self._silent_until: dict[Address, float] = {}
        #: By backend, for the present agents.
        self._orders: dict[str, list[Address]] = {}

    def has_any(self) -> bool:
        """Check whether an agent is known.

        :returns: whether one is.
        """
        return bool(self._agents)

    def update(self, agents: Collection[Address]) -> None:
        """Update the agents that may be asked.

        :param agents: their addresses.
        """
        known = tuple(sorted(agents))
        if known == self._agents:
            return
        self._agents = known
        self._orders.clear()
        self._losses = {
            agent: losses
            for agent, losses in self._losses.items()
            if agent in agents
        }
        self._silent_until = {
            agent: until
            for agent, until in self._silent_until.items()
            if agent in agents
        }

    def find(self, backend: str, now: float) -> Arbiter | None:
        """Find the agent to ask about a backend.

        :param backend: name of the backend's process.
        :param now: seconds on the boot clock.
        :returns: the agent, or ``None`` if none is known.
        """
        order = self._orders.get(backend)
        if order is None:
            order = nsmallest(
                len(GRANT_FRACTIONS),
                self._agents,
                key=lambda agent: _draw(agent, backend),
            )
            self._orders[backend] = order
        for rank, agent in enumerate(order):
            if self._silent_until.get(agent, now) <= now:
                return Arbiter(agent, rank)
        # All were silent: the first may be back.
        return Arbiter(order[0], 0) if order else None

    def forget_backend(self, backend: str) -> None:
        """Forget the order of the agents for a backend.

        :param backend: name of the backend's process.
        """
        self._orders.pop(backend, None)

    def record_reply(self, agent: Address) -> None:
        """Record that an agent replied.

        :param agent: its address.
        """
        self._losses.pop(agent, None)

    def record_loss(self, agent: Address, now: float) -> None:
        """Record that an agent did not reply in time.

        :param agent: its address.
        :param now: seconds on the boot clock.
        """
        losses = self._losses.get(agent, 0) + 1
        self._losses[agent] = losses
        if losses >= MAX_LOSSES:
            self._losses.pop(agent)
            self._silent_until[agent] = now + SILENCE_SECONDS


def _draw(agent: Address, backend: str) -> int:
    digest: int = xxhash.xxh64_intdigest(f'{agent[0]}/{backend}'.encode())
    return digest
