"""Changes that are still to be passed on to others."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from typing import Final, NamedTuple

from ospreyford.membership.messages import Change, Description

#: More changes than these never fit one message.
_MAX_UPDATES_PER_MESSAGE: Final = 12
#: Changes kept, at most; twice the members of a rack and more.
_MAX_PENDING_UPDATES: Final = 128


@dataclass
class _QueuedUpdate:
    """A change to pass on.

    :param number: grows from change to change.
    :param whole: whether it brings a new member.
    :param sent: count of sendings.
    """

    sequence: int
    with_description: bool
    transmissions: int = 0

    @property
    def priority(self) -> tuple[int, int]:
        """The smallest is due first: the least often sent, then the newest."""
        return self.transmissions, -self.sequence


class PendingUpdate(NamedTuple):
    """A member whose version is to be passed on."""

    name: str
    with_description: bool


class GossipQueue:
    """Names of members that changed, least often sent first.

    What goes wrong without a limit: a process that has just started learns
    thousands of members, and has hours of passing them on before it; news
    wait behind them, and show up late in views all over a fleet that was
    just started. So the newest go first and the last in turn are dropped;
    who lacks these finds it by digests.

    :param retransmit: sendings for each decimal digit of the fleet's size.
    """

    def __init__(self, retransmit_multiplier: int) -> None:
        self._retransmit_multiplier = retransmit_multiplier
        self._pending: dict[str, _QueuedUpdate] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._pending)

    def enqueue(self, name: str, *, with_description: bool) -> None:
        """Start to pass on a member's version.

        :param name: the member.
        :param whole: the receivers may not have its description.
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
        """Stop passing on a member's version.

        :param name: the member.
        """
        self._pending.pop(name, None)

    def select_next(self) -> list[PendingUpdate]:
        """List what to pass on next.

        :returns: a few names, least often sent first.
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
        """Count a sending.

        :param name: the member whose version was sent.
        :param fleet: number of members.
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

        :param entry: what to add.
        """
        match entry:
            case Change():
                self.changes.append(entry)
            case Description():
                self.descriptions.append(entry)
