"""Which revision of each document counts, whatever order they arrive in."""

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
    """One revision of one document, as the configuration service gave it.

    ``name`` is the key in the service; ``deleted`` marks the revision at
    which the key was removed, and then ``text`` is empty.
    """

    name: str
    revision: int
    text: bytes = b''
    deleted: bool = False


class DocumentState(NamedTuple):
    """What is known of one document's name.

    ``newest`` is the newest revision seen, ``good`` the newest that is well
    formed or deleted, ``body`` the content in force (``None``: nothing, or
    of a kind that this process has no use for), ``rejected`` says why
    ``newest`` is not ``good``. ``digest`` is of the content in force, whether
    kept or not; 0 if nothing is.
    """

    newest: DocumentEntry
    last_good: DocumentEntry | None
    body: DocumentBody | None
    rejected: RejectedDocument | None
    digest: int = 0


class Change(NamedTuple):
    """A document that went into force, changed or went out of force."""

    name: str
    before: DocumentState | None
    after: DocumentState


class DocumentHistory:
    """The newest and the last good revision of each document.

    Each of the two is a maximum over the revisions seen, so that any order,
    grouping or repetition of the same revisions leads to the same history.

    :param kinds: the kinds whose content is kept. Documents of other kinds
        are checked and counted in the digest like all, so that processes
        that keep different kinds still agree on what is in force.
    """

    def __init__(self, kinds: Kinds = ALL_KINDS) -> None:
        self._kinds = kinds
        self._states: dict[str, DocumentState] = {}
        self._rejected: dict[str, RejectedDocument] = {}

    def record(self, entry: DocumentEntry) -> Change | None:
        """Take in one revision.

        :param entry: the revision; an older or known one changes nothing.
        :returns: the change, or ``None`` when all stays as it was.
        """
        before = self._states.get(entry.name)
        # A stale replica of the configuration service, or a peer that slept,
        # hands out revisions that were replaced since. Taking one would undo
        # a team's later document on this process only.
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
        :returns: what is known of it, or ``None``.
        """
        return self._states.get(name)

    def entries(self) -> Iterator[DocumentEntry]:
        """List what another process needs to reach the same snapshot.

        :returns: for each name the newest revision and, where that one is
            rejected, the last good one before it.
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
    # Two texts under one revision cannot come from a correct service; every
    # process still has to choose the same one of them.
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
