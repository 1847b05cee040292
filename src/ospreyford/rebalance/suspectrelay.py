"""Relay of suspected requests between the entries that an agent knows."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ospreyford.rebalance.messages import encode
from ospreyford.suspects.messages import SuspectReport
from ospreyford.suspects.table import SuspectTable

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.rebalance.datagrams import Address, DatagramSocket
    from ospreyford.rebalance.entrymessages import Hello
    from ospreyford.rebalance.entryregistry import EntryRegistry

#: Share of the link that full reports may use.
LINK_FRACTION = 0.05


class SuspectRelay:
    """Merges what entries report, and passes on what is new.

    An entry whose hello has another digest gets all that is known, and returns
    what was missing here: so entries that start, or were cut off, catch up.

    :param entries: the entries in contact with this agent.
    :param datagram_socket: the process's socket.
    """

    def __init__(
        self, entries: EntryRegistry, datagram_socket: DatagramSocket
    ) -> None:
        self.table = SuspectTable()
        self._entries = entries
        self._datagram_socket = datagram_socket
        self._next_report_at: float = 0

    async def handle_hello(self, hello: Hello, address: Address) -> None:
        """Send an entry all that is known if it knows something else.

        :param hello: the entry's hello.
        :param address: the entry's address.
        """
        if hello.suspects == self._compute_digest():
            return
        now = time.monotonic()
        if now < self._next_report_at:
            return
        datagram = encode(self._make_report(None))
        self._next_report_at = now + len(datagram) / (
            LINK_FRACTION * self._datagram_socket.link_bytes
        )
        await self._datagram_socket.send_bytes(datagram, address)

    async def handle_report(
        self, report: SuspectReport, address: Address
    ) -> None:
        """Merge a report and tell the other entries what was new.

        :param report: the report.
        :param address: address of the entry that sent it.
        """
        changed = self.table.merge(report.suspects, time.monotonic())
        if not changed:
            return
        datagram = encode(self._make_report(changed))
        for entry in self._entries.list_entries():
            if entry != address:
                await self._datagram_socket.send_bytes(datagram, entry)

    def _compute_digest(self) -> int:
        if not len(self.table):
            return 0
        self.table.expire(time.monotonic())
        return self.table.compute_digest()

    def _make_report(self, identities: Iterable[bytes] | None) -> SuspectReport:
        encoded = self.table.encode(time.monotonic(), identities)
        return SuspectReport(encoded, self._compute_digest())
