"""Entries that share limits, on ports that answer at once, in model time."""

from __future__ import annotations

from collections.abc import Coroutine

from ospreyford.limits.owners import EntryView
from ospreyford.limits.settings import ShareSettings
from ospreyford.limits.share import (
    MESSAGE_OVERHEAD_BYTES,
    EntryIdentity,
    LimitShare,
)
from ospreyford.ports.peers import Handler


class Network:
    """Entries that reach each other, or not, and model time."""

    def __init__(self) -> None:
        self.now: float = 0
        self.entries: dict[str, Entry] = {}
        self.sent = 0


class Entry:
    """One entry on the fake ports.

    :param name: its name.
    :param network: what it is on.
    :param names: all entries.
    :param reserved: part of the limit split evenly.
    """

    def __init__(
        self,
        name: str,
        network: Network,
        names: tuple[str, ...],
        reserved: float,
    ) -> None:
        self.side = 0
        self.dead = False
        self.live = names
        self.known = len(names)
        self._seen: tuple[tuple[str, ...], int] = ((), 0)
        self._view = EntryView({}, 0)
        self._network = network
        self._handlers: dict[str, Handler] = {}
        self.share = LimitShare(
            ShareSettings(reserved=reserved),
            EntryIdentity(name, name),
            self,
            self,
            self,
        )

    def monotonic(self) -> float:
        """Read model time."""
        return self._network.now

    def wall(self) -> float:
        """Read model time."""
        return self._network.now

    async def sleep(self, seconds: float) -> None:
        """Return at once; the model moves time."""

    def view(self) -> EntryView:
        """Tell the present view."""
        seen = (self.live, self.known)
        if seen != self._seen:
            self._seen = seen
            self._view = EntryView(
                {name: name for name in self.live}, self.known
            )
        return self._view

    def serve(self, topic: str, handler: Handler) -> None:
        """Keep the handler."""
        self._handlers[topic] = handler

    async def ask(
        self, address: str, topic: str, body: bytes, timeout: float
    ) -> bytes | None:
        """Pass on to whoever is reached."""
        self._network.sent += len(body) + MESSAGE_OVERHEAD_BYTES
        other = self._network.entries[address]
        if other.dead or other.side != self.side:
            return None
        return await other.answer(topic, body)

    async def answer(self, topic: str, body: bytes) -> bytes | None:
        """Answer as this entry."""
        answer = await self._handlers[topic](body)
        self._network.sent += len(answer or b'') + MESSAGE_OVERHEAD_BYTES
        return answer


def run_whole(coroutine: Coroutine[object, object, None]) -> None:
    """Run code whose ports answer at once.

    :param coroutine: what to run.
    """
    try:
        coroutine.send(None)
    except StopIteration:
        return


def show(network: Network, cut: list[str]) -> None:
    """Let the views tell who is reached.

    :param network: the entries.
    :param cut: those that only reach each other.
    """
    rest = [name for name in network.entries if name not in cut]
    for name, entry in network.entries.items():
        entry.live = tuple(cut if name in cut else rest)
