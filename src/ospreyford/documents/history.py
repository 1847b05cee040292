"""Selects the revision of each document that is in force."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ospreyford.documents.digest import digest_body
from ospreyford.documents.parsing import (
    Document,
    RejectedDocument,
    parse_document,
)
from ospreyford.documents.schema import ALL_KINDS, DocumentBody, Kinds


class DocumentEntry(NamedTuple):
    """One revision of a document from the configuration service.

    ``name`` is the key in the service; ``deleted`` marks the revision at
    which the key was removed, and then ``text`` is empty.
    """

    name: str
    revision: int
    text: bytes = b''
    deleted: bool = False


class DocumentState(NamedTuple):
    """State of one document.

    ``last_good`` is the newest revision that is well formed or deleted.
    ``body`` is ``None`` if nothing is in force or its kind is not kept.
    ``rejected`` is set if ``newest`` is malformed. ``digest`` covers the
    content in force, kept or not, and is 0 if there is none.
    """

    newest: DocumentEntry
    last_good: DocumentEntry | None
    body: DocumentBody | None
    rejected: RejectedDocument | None
    digest: int = 0


class Change(NamedTuple):
    """A change of the state of a document."""

    name: str
    before: DocumentState | None
    after: DocumentState


class DocumentHistory:
    """The newest and the last good revision of each document.

    The result does not depend on the order, grouping or repetition of
    revisions.

    :param kinds: the kinds whose content is kept. Other kinds are still
        validated and included in the digest, so that processes that keep
        different kinds compute the same digest.
    """

    def __init__(self, kinds: Kinds = ALL_KINDS) -> None:
        self._kinds = kinds
        self._states: dict[str, DocumentState] = {}
        self._rejected: dict[str, RejectedDocument] = {}

    def record(self, entry: DocumentEntry) -> Change | None:
        """Record one revision.

        :param entry: the revision; an older or known one changes nothing.
        :returns: the change, or ``None`` if there is none.
        """
        before = self._states.get(entry.name)
        # A stale replica or peer may deliver superseded revisions.
        if before is not None and not _is_newer(entry, before):
            return None
        after = self._merge(entry, before)
        if after == before:
            return None
        self._states[entry.name] = after
        if after.rejected is None:
            self._rejected.pop(entry.name, None)
        else:
            self._rejected[entry.name] = after.rejected
        return Change(entry.name, before, after)

    def find(self, name: str) -> DocumentState | None:
        """Look up one document.

        :param name: its key in the configuration service.
        :returns: its state, or ``None``.
        """
        return self._states.get(name)

    def entries(self) -> Iterator[DocumentEntry]:
        """List the revisions from which the same snapshot can be resolved.

        :returns: for each name the newest revision and, if that is
            rejected, the last good one.
        """
        for known in self._states.values():
            if known.last_good is not None:
                yield known.last_good
            if known.rejected is not None:
                yield known.newest

    def rejected(self) -> tuple[RejectedDocument, ...]:
        """List the documents whose newest revision is not well formed.

        :returns: the rejections, by name.
        """
        return tuple(sorted(self._rejected.values()))

    def _merge(
        self, entry: DocumentEntry, before: DocumentState | None
    ) -> DocumentState:
        is_newest = before is None or _revision_order(entry) > _revision_order(
            before.newest
        )
        newest = entry if is_newest or before is None else before.newest
        if entry.deleted:
            return _accept(DocumentState(newest, entry, None, None), before)
        match parse_document(entry.name, entry.text):
            case Document(body=body):
                digest = digest_body(entry.name, entry.revision, body)
                kept = body if isinstance(body, self._kinds) else None
                good = DocumentState(newest, entry, kept, None, digest)
                return _accept(good, before)
            case RejectedDocument() as rejected:
                return _reject(entry, rejected, before, is_newest=is_newest)


def _revision_order(entry: DocumentEntry) -> tuple[int, bool, bytes]:
    # Breaks ties between different texts with the same revision.
    return (entry.revision, entry.deleted, entry.text)


def _is_newer(entry: DocumentEntry, known: DocumentState) -> bool:
    return known.last_good is None or _revision_order(entry) > _revision_order(
        known.last_good
    )


def _accept(good: DocumentState, before: DocumentState | None) -> DocumentState:
    if good.newest == good.last_good or before is None:
        return good
    return good._replace(rejected=before.rejected)


def _reject(
    entry: DocumentEntry,
    rejected: RejectedDocument,
    before: DocumentState | None,
    *,
    is_newest: bool,
) -> DocumentState:
    if before is None:
        return DocumentState(entry, None, None, rejected)
    if is_newest:
        return before._replace(newest=entry, rejected=rejected)
    return before
