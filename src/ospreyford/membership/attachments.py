"""Messages of other parts that ride on probes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

from ospreyford.membership.counters import MembershipCounters

Provide = Callable[[], bytes]
Consume = Callable[[str, bytes], None]

#: Encoded bytes of an attachment beside its name and content.
_FRAME_BYTES: Final = 6


class _Slot(NamedTuple):
    """A part that attaches messages."""

    name: str
    provide: Provide
    consume: Consume


class Attachments:
    """The slots, taking turns when a message has no room for all.

    :param limit: bytes of attachments in one message.
    :param counters: where oversized attachments are counted.
    """

    def __init__(self, limit: int, counters: MembershipCounters) -> None:
        self._limit = limit
        self._counters = counters
        self._slots: list[_Slot] = []

    def attach(self, name: str, provide: Provide, consume: Consume) -> None:
        """Add a slot.

        :param name: its name, the same in every process.
        :param provide: called for each message; empty bytes send nothing.
        :param consume: called with the sender's peer address.
        """
        self._slots.append(_Slot(name, provide, consume))

    def collect(self) -> list[tuple[str, bytes]]:
        """Gather what fits one message.

        :returns: names and contents.
        """
        left = self._limit
        gathered: list[tuple[str, bytes]] = []
        skipped: list[_Slot] = []
        taken: list[_Slot] = []
        for slot in self._slots:
            attached = slot.provide()
            size = len(slot.name) + len(attached) + _FRAME_BYTES
            if size > self._limit:
                self._counters.oversized_attachments += 1
            if size > left:
                skipped.append(slot)
                continue
            taken.append(slot)
            if attached:
                left -= size
                gathered.append((slot.name, attached))
        # Who had no room now comes first next time.
        self._slots = skipped + taken
        return gathered

    def hand_out(
        self,
        address: str,
        attached: list[tuple[str, bytes]],
    ) -> None:
        """Hand received attachments to their slots.

        :param address: the sender's peer address.
        :param attached: names and contents; unknown names are skipped.
        """
        received = dict(attached)
        for slot in tuple(self._slots):
            content = received.get(slot.name)
            if content is not None:
                slot.consume(address, content)
