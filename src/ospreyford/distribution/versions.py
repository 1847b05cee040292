"""Retained versions of a document."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ospreyford.distribution.entries import (
    compute_fingerprint,
    compute_order_key,
)

if TYPE_CHECKING:
    from ospreyford.distribution.entries import Entry, Head
    from ospreyford.distribution.service import WellFormedCheck


class Verdict(enum.Enum):
    """Result of offering an entry to the replica."""

    accepted = 'accepted'
    known = 'known'
    older = 'older'
    conflict_accepted = 'conflict accepted'
    conflict_refused = 'conflict refused'


@dataclass(slots=True)
class DocumentVersions:
    """The newest version, and the last good one if the newest is malformed.

    The last good version lets a process started after a malformed publication
    use the same version as the others. Both are maxima over the versions seen,
    so arrival order does not matter.

    Texts are validated lazily, only when versions must be compared.

    :param newest: the newest version seen.
    :param is_well_formed: validates texts.
    :param last_good: the last well-formed version, if not the newest.
    :param is_newest_good: ``None`` until validated.
    """

    newest: Entry
    is_well_formed: WellFormedCheck
    last_good: Entry | None = None
    is_newest_good: bool | None = None

    def list_entries(self) -> tuple[Entry, ...]:
        """List the retained versions.

        :returns: the newest version, then the last good one if that differs.
        """
        if self.last_good is None:
            return (self.newest,)
        return (self.newest, self.last_good)

    def merge(self, entry: Entry) -> Verdict:
        """Merge a version.

        :param entry: the version.
        :returns: whether it is retained, or why not.
        """
        if entry in self.list_entries():
            return Verdict.known
        if compute_order_key(entry) > compute_order_key(self.newest):
            is_kept = True
            is_newer = entry.revision > self.newest.revision
            self._replace_newest(entry)
        else:
            is_kept = self._replace_last_good(entry)
            is_newer = entry.revision != self.newest.revision
        if is_newer:
            return Verdict.accepted if is_kept else Verdict.older
        return (
            Verdict.conflict_accepted if is_kept else Verdict.conflict_refused
        )

    def drop_last_good_tombstone(self, floor: int) -> Entry | None:
        """Drop a tombstone that is retained as the last good version.

        :param floor: drop it only up to this revision.
        :returns: the tombstone dropped, if any.
        """
        held = self.last_good
        if held is None or not held.deleted or held.revision > floor:
            return None
        self.last_good = None
        return held

    def lacks(self, head: Head) -> bool:
        """Tell whether a peer's version is missing here.

        :param head: the peer's version.
        :returns: whether to fetch the version.
        """
        if head.fingerprint in map(compute_fingerprint, self.list_entries()):
            return False
        if head.revision >= self.newest.revision:
            return True
        return not self._has_good() and self._exceeds_last_good(head)

    def _replace_newest(self, entry: Entry) -> None:
        is_good = self._is_good(entry)
        if is_good:
            self.last_good = None
        elif self._has_good():
            self.last_good = self.newest
        self.newest = entry
        self.is_newest_good = is_good

    def _replace_last_good(self, entry: Entry) -> bool:
        if self._has_good():
            return False
        held = self.last_good
        if held is not None and compute_order_key(entry) < compute_order_key(
            held
        ):
            return False
        if self._is_good(entry):
            self.last_good = entry
            return True
        return False

    def _has_good(self) -> bool:
        if self.is_newest_good is None:
            self.is_newest_good = self._is_good(self.newest)
        return self.is_newest_good

    def _is_good(self, entry: Entry) -> bool:
        return entry.deleted or self.is_well_formed(entry.name, entry.text)

    def _exceeds_last_good(self, head: Head) -> bool:
        held = self.last_good
        return held is None or head.revision >= held.revision
