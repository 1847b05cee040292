"""Queue of membership updates to gossip."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from typing import Final, NamedTuple

from ospreyford.membership.messages import Change, Description

#: Upper bound of updates that fit one message.
_MAX_UPDATES_PER_MESSAGE: Final = 12
_MAX_PENDING_UPDATES: Final = 128


@dataclass
class _QueuedUpdate:
    """An update waiting to be sent.

    :param sequence: increases with each update.
    :param with_description: whether to send the whole description.
    :param transmissions: how often it was sent.
    """

    sequence: int
    with_description: bool
    transmissions: int = 0

    @property
    def priority(self) -> tuple[int, int]:
        """Smallest first: least transmitted, then newest."""
        return self.transmissions, -self.sequence


class PendingUpdate(NamedTuple):
    """A member whose version is to be sent."""

    name: str
    with_description: bool


class GossipQueue:
    """Changed members, least transmitted first.

    The queue is bounded, so that the thousands of members learned at a start
    do not delay newer changes. Dropped updates are recovered by digests.

    :param retransmit_multiplier: transmissions of an update, as a multiple
        of the decimal logarithm of the member count.
    """

    def __init__(self, retransmit_multiplier: int) -> None:
        self._retransmit_multiplier = retransmit_multiplier
        self._pending: dict[str, _QueuedUpdate] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._pending)

    def enqueue(self, name: str, *, with_description: bool) -> None:
        """Queue a member's version.

        :param name: the member.
        :param with_description: whether receivers may lack its description.
        """
        previous = self._pending.get(name)
        self._sequence += 1
        self._pending[name] = _QueuedUpdate(
            self._sequence,
            with_description
            or (previous is not None and previous.with_description),
        )
        if len(self._pending) > _MAX_PENDING_UPDATES:
            self.discard(max(self._pending, key=self._get_priority))

    def discard(self, name: str) -> None:
        """Remove a member from the queue.

        :param name: the member.
        """
        self._pending.pop(name, None)

    def select_next(self) -> list[PendingUpdate]:
        """Select the updates to send next.

        :returns: candidates for one message, least transmitted first.
        """
        names = heapq.nsmallest(
            _MAX_UPDATES_PER_MESSAGE,
            self._pending,
            key=self._get_priority,
        )
        return [
            PendingUpdate(name, self._pending[name].with_description)
            for name in names
        ]

    def record_transmission(self, name: str, member_count: int) -> None:
        """Count a transmission and drop the update after the last one.

        :param name: the member whose version was sent.
        :param member_count: number of members.
        """
        pending = self._pending[name]
        pending.transmissions += 1
        if pending.transmissions >= self._retransmit_multiplier * math.ceil(
            math.log10(member_count + 1)
        ):
            self.discard(name)

    def _get_priority(self, name: str) -> tuple[int, int]:
        return self._pending[name].priority


class MessageUpdates(NamedTuple):
    """Changes and descriptions for one message."""

    changes: list[Change]
    descriptions: list[Description]

    def add(self, entry: Change | Description) -> None:
        """Add an entry.

        :param entry: a change or a description.
        """
        match entry:
            case Change():
                self.changes.append(entry)
            case Description():
                self.descriptions.append(entry)
