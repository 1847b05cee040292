"""Resolves document revisions incrementally into snapshots."""

from __future__ import annotations

from collections.abc import Iterable

from ospreyford.documents.digest import update_digest
from ospreyford.documents.history import (
    Change,
    DocumentEntry,
    DocumentHistory,
)
from ospreyford.documents.schema import ALL_KINDS, Kinds
from ospreyford.documents.snapshot import ConfigurationSnapshot
from ospreyford.documents.tables import make_empty_tables


class Resolver:
    """Records revisions and resolves the resulting snapshot.

    The snapshot depends only on the set of revisions recorded. Parsing can
    take a second, so call :meth:`record` in a thread, one caller at a time;
    ``snapshot`` is replaced atomically and may be read concurrently.

    :param kinds: the kinds whose documents the snapshot holds.
    """

    def __init__(self, kinds: Kinds = ALL_KINDS) -> None:
        self.history = DocumentHistory(kinds)
        self.snapshot = ConfigurationSnapshot(make_empty_tables())
        self._digest = 0

    def record(self, entries: Iterable[DocumentEntry]) -> ConfigurationSnapshot:
        """Record revisions, copying the tables of the changed kinds.

        :param entries: the revisions; older and known ones change nothing.
        :returns: the current snapshot; the same object if nothing changed.
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

    The newest well-formed revision of each document is in force; newer
    malformed ones are reported.

    :param entries: the revisions, any number per document.
    :returns: the snapshot, which depends only on the set of revisions.
    """
    return Resolver().record(entries)
