"""Keeps the snapshot current, document by document."""

from __future__ import annotations

from collections.abc import Iterable

from ospreyford.documents.digest import update_digest
from ospreyford.documents.history import (
    Change,
    DocumentEntry,
    DocumentHistory,
)
from ospreyford.documents.snapshot import ConfigurationSnapshot
from ospreyford.documents.schema import ALL_KINDS, Kinds
from ospreyford.documents.tables import make_empty_tables


class Resolver:
    """Takes in revisions and gives the snapshot that follows from them.

    The snapshot depends on the set of revisions taken in and on nothing
    else: not on their order, grouping or repetition. Reading a document of a
    megabyte can take a second, so :meth:`record` is to be called in a
    thread, by one caller at a time; ``snapshot`` is exchanged whole at its
    end and may be read meanwhile.

    :param kinds: the kinds whose documents the snapshot holds.
    """

    def __init__(self, kinds: Kinds = ALL_KINDS) -> None:
        self.history = DocumentHistory(kinds)
        self.snapshot = ConfigurationSnapshot(make_empty_tables())
        self._digest = 0

    def record(self, entries: Iterable[DocumentEntry]) -> ConfigurationSnapshot:
        """Take in revisions.

        The cost grows with the documents that changed and, by one copy of a
        table's index, with those of the same kinds.

        :param entries: any revisions; older and known ones change nothing.
        :returns: the snapshot now; the same object when nothing changed.
        """
        recorded = (self.history.record(entry) for entry in entries)
        changes = [change for change in recorded if change is not None]
        if changes:
            self.snapshot = self._advance(changes)
        return self.snapshot

    def _advance(self, changes: list[Change]) -> ConfigurationSnapshot:
        for change in changes:
            before = change.before.digest if change.before else 0
            self._digest = update_digest(
                self._digest, before, change.after.digest
            )
        return self.snapshot.advance(
            self.snapshot.tables.apply_changes(changes),
            self.history.rejected(),
            self._digest,
        )


def resolve_snapshot(entries: Iterable[DocumentEntry]) -> ConfigurationSnapshot:
    """Resolve a set of revisions.

    Of each name the newest well-formed revision is in force; a newer one
    that is malformed is reported.

    :param entries: the revisions, several of a name at will.
    :returns: the snapshot, a pure function of the set.
    """
    return Resolver().record(entries)
