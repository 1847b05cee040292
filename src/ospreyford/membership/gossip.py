"""Changes that are still to be passed on to others."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from typing import Final, NamedTuple

from ospreyford.membership.messages import Change, Description

#: More changes than these never fit one message.
_PER_MESSAGE: Final = 12
#: Changes kept, at most; twice the members of a rack and more.
_MOST_PENDING: Final = 128


@dataclass
class _Pending:
    """A change to pass on.

    :param number: grows from change to change.
    :param whole: whether it brings a new member.
    :param sent: count of sendings.
    """

    number: int
    whole: bool
    sent: int = 0

    @property
    def turn(self) -> tuple[int, int]:
        """The smallest is due first: the least often sent, then the newest."""
        return self.sent, -self.number


class Due(NamedTuple):
    """A member whose version is to be passed on."""

    name: str
    whole: bool


class Gossip:
    """Names of members that changed, least often sent first.

    What goes wrong without a limit: a process that has just started learns
    thousands of members, and has hours of passing them on before it; news
    wait behind them, and show up late in views all over a fleet that was
    just started. So the newest go first and the last in turn are dropped;
    who lacks these finds it by digests.

    :param retransmit: sendings for each decimal digit of the fleet's size.
    """

    def __init__(self, retransmit: int) -> None:
        self._retransmit = retransmit
        self._pending: dict[str, _Pending] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._pending)

    def note(self, name: str, *, whole: bool) -> None:
        """Start to pass on a member's version.

        :param name: the member.
        :param whole: the receivers may not have its description.
        """
        before = self._pending.get(name)
        self._number += 1
        self._pending[name] = _Pending(
            self._number,
            whole or (before is not None and before.whole),
        )
        if len(self._pending) > _MOST_PENDING:
            self.drop(max(self._pending, key=self._turn))

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
            key=self._turn,
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

    def _turn(self, name: str) -> tuple[int, int]:
        return self._pending[name].turn


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
