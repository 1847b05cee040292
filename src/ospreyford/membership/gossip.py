"""Changes that are still to be passed on to others."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from typing import NamedTuple

from ospreyford.membership.messages import Change, Description

#: More changes than these never fit one message.
_PER_MESSAGE = 12


@dataclass
class _Pending:
    """A change's count of sendings; ``whole`` if it brings a new member."""

    sent: int
    whole: bool


class Due(NamedTuple):
    """A member whose version is to be passed on."""

    name: str
    whole: bool


class Gossip:
    """Names of members that changed, least often sent first.

    :param retransmit: sendings for each decimal digit of the fleet's size.
    """

    def __init__(self, retransmit: int) -> None:
        self._retransmit = retransmit
        self._pending: dict[str, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def note(self, name: str, *, whole: bool) -> None:
        """Start to pass on a member's version.

        :param name: the member.
        :param whole: the receivers may not have its description.
        """
        before = self._pending.get(name)
        self._pending[name] = _Pending(
            0, whole or (before is not None and before.whole)
        )

    def drop(self, name: str) -> None:
        """Stop passing on a member's version.

        :param name: the member.
        """
        self._pending.pop(name, None)

    def due(self) -> list[Due]:
        """List what to pass on next.

        :returns: a few names, least often sent first.
        """
        names = heapq.nsmallest(
            _PER_MESSAGE,
            self._pending,
            key=lambda name: self._pending[name].sent,
        )
        return [Due(name, self._pending[name].whole) for name in names]

    def note_sent(self, name: str, fleet: int) -> None:
        """Count a sending.

        :param name: the member whose version was sent.
        :param fleet: number of members.
        """
        pending = self._pending[name]
        pending.sent += 1
        if pending.sent >= self._retransmit * math.ceil(math.log10(fleet + 1)):
            self.drop(name)


class Parcel(NamedTuple):
    """Changes and descriptions for one message."""

    changes: list[Change]
    descriptions: list[Description]

    def put(self, entry: Change | Description) -> None:
        """Add an entry.

        :param entry: what to add.
        """
        match entry:
            case Change():
                self.changes.append(entry)
            case Description():
                self.descriptions.append(entry)
