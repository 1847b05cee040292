"""What a stand-in really did, in order."""

from __future__ import annotations

import time

import msgspec

#: Entries kept. Beyond it the journal is no referee any more and says so.
MAX_ENTRIES = 1_000_000


class JournalFull(Exception):
    """Entries were lost, so the journal can't be used as evidence."""


class JournalEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One thing that a stand-in did.

    :param serial: position in the journal, from 1.
    :param at: ``CLOCK_MONOTONIC`` in seconds, comparable between the
        processes of one machine.
    :param event: what happened.
    :param request_id: the ``x-request-id`` of the request, or empty.
    :param key: the ``idempotency-key`` of the request, or empty.
    :param note: whatever else the event is about.
    """

    serial: int
    at: float
    event: str
    request_id: str = ''
    key: str = ''
    note: dict[str, str | int | float | bool] = {}


class Journal:
    """Entries in the order in which things happened."""

    def __init__(self) -> None:
        self._entries: list[JournalEntry] = []
        self._overflowed = False

    def record(
        self,
        event: str,
        request_id: str = '',
        key: str = '',
        **note: str | float | bool,
    ) -> JournalEntry:
        """Append an entry.

        :param event: what happened.
        :param request_id: the request's id, if there is one.
        :param key: the request's idempotency key, if there is one.
        :param note: whatever else the event is about.
        :returns: the entry, with its serial number.
        """
        entry = JournalEntry(
            serial=len(self._entries) + 1,
            at=time.monotonic(),
            event=event,
            request_id=request_id,
            key=key,
            note=note,
        )
        if len(self._entries) < MAX_ENTRIES:
            self._entries.append(entry)
        else:
            self._overflowed = True
        return entry

    def read(self) -> list[JournalEntry]:
        """Read every entry.

        :returns: the entries, oldest first.
        :raises JournalFull: entries were lost.
        """
        if self._overflowed:
            raise JournalFull
        return self._entries
