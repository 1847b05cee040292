"""Publication of a group's status to entries, at a bounded rate."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from ospreyford.rebalance.datagrams import DATAGRAM_HEADER_BYTES
from ospreyford.rebalance.messages import encode

if TYPE_CHECKING:
    from ospreyford.rebalance.datagrams import DatagramSocket
    from ospreyford.rebalance.entrymessages import GroupStatus, RankDetails
    from ospreyford.rebalance.entryregistry import EntryRegistry

#: Limits on the share of the link used for status without and with details.
STATUS_LINK_FRACTION = 0.1
DETAILS_LINK_FRACTION = 0.15
#: Status messages that the coordinators of all groups may send to one entry.
MAX_STATUS_PER_SECOND = 40
#: Upper bound of the interval; entries forget a coordinator after 3 s.
MAX_STATUS_INTERVAL_SECONDS = 1.0
#: Groups up to which each heartbeat of a coordinator comes with a status.
MAX_UNSLOWED_GROUPS = 4


class StatusPublisher:
    """Publishes the status of one group.

    :param entries: the entries in contact with this agent.
    :param datagram_socket: the process's socket.
    """

    def __init__(
        self, entries: EntryRegistry, datagram_socket: DatagramSocket
    ) -> None:
        self._entries = entries
        self._datagram_socket = datagram_socket
        self._next_status_at: float = 0
        self._next_details_at: float = 0
        self._last_published: tuple[bool, int] | None = None

    async def publish(self, status: GroupStatus, details: RankDetails) -> None:
        """Publish the group's status to all entries.

        Details are included at a lower rate than totals. A change of epoch or
        of openness is published immediately.

        :param status: the status without details.
        :param details: load of each rank.
        """
        now = time.monotonic()
        is_changed = (status.is_open, status.epoch) != self._last_published
        if now < self._next_status_at and not is_changed:
            return
        self._last_published = (status.is_open, status.epoch)
        entries = self._entries.list_entries()
        published = msgspec.structs.replace(status, entries=len(entries))
        datagram = encode(published)
        self._next_status_at = now + max(
            self._compute_interval(
                datagram, len(entries), STATUS_LINK_FRACTION
            ),
            compute_status_interval(self._entries.count_groups()),
        )
        if now >= self._next_details_at:
            datagram = encode(
                msgspec.structs.replace(published, details=details)
            )
            self._next_details_at = now + self._compute_interval(
                datagram, len(entries), DETAILS_LINK_FRACTION
            )
        for address in entries:
            await self._datagram_socket.send_bytes(datagram, address)

    def _compute_interval(
        self, datagram: bytes, entry_count: int, link_fraction: float
    ) -> float:
        bytes_per_round = (len(datagram) + DATAGRAM_HEADER_BYTES) * entry_count
        return bytes_per_round / (
            link_fraction * self._datagram_socket.link_bytes
        )


def compute_status_interval(groups: int) -> float:
    """Compute the interval at which an entry can hear all groups.

    :param groups: number of groups that report to the entry.
    :returns: seconds; 0 if each heartbeat may come with a status.
    """
    if groups <= MAX_UNSLOWED_GROUPS:
        return 0
    return min(groups / MAX_STATUS_PER_SECOND, MAX_STATUS_INTERVAL_SECONDS)
