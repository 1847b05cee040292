"""Application payloads piggybacked on probes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

from ospreyford.membership.counters import MembershipCounters

Provide = Callable[[], bytes]
Consume = Callable[[str, bytes], None]

#: Encoding overhead of an attachment besides its name and content.
_HEADER_BYTES: Final = 6


class _Source(NamedTuple):
    """A component that attaches payloads."""

    name: str
    provide: Provide
    consume: Consume


class Attachments:
    """Rotates the sources when a message has no room for all of them.

    :param max_bytes: bytes of attachments per message.
    :param counters: counts oversized attachments.
    """

    def __init__(self, max_bytes: int, counters: MembershipCounters) -> None:
        self._max_bytes = max_bytes
        self._counters = counters
        self._sources: list[_Source] = []

    def register(self, name: str, provide: Provide, consume: Consume) -> None:
        """Register a source.

        :param name: its name, the same in every process.
        :param provide: called for each message; empty bytes send nothing.
        :param consume: called with the sender's peer address and content.
        """
        self._sources.append(_Source(name, provide, consume))

    def collect(self) -> list[tuple[str, bytes]]:
        """Collect the attachments of one message.

        :returns: names and contents.
        """
        available_bytes = self._max_bytes
        collected: list[tuple[str, bytes]] = []
        skipped: list[_Source] = []
        included: list[_Source] = []
        for source in self._sources:
            content = source.provide()
            size = len(source.name) + len(content) + _HEADER_BYTES
            if size > self._max_bytes:
                self._counters.oversized_attachments += 1
            if size > available_bytes:
                skipped.append(source)
                continue
            included.append(source)
            if content:
                available_bytes -= size
                collected.append((source.name, content))
        # Skipped sources come first in the next message.
        self._sources = skipped + included
        return collected

    def dispatch(
        self,
        address: str,
        attached: list[tuple[str, bytes]],
    ) -> None:
        """Pass received attachments to their sources.

        :param address: the sender's peer address.
        :param attached: names and contents; unknown names are ignored.
        """
        received = dict(attached)
        for source in tuple(self._sources):
            content = received.get(source.name)
            if content is not None:
                source.consume(address, content)
