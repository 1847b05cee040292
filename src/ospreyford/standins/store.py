"""The documents of the configuration service, with their revisions."""

from __future__ import annotations

from typing import NamedTuple, TypedDict


class Document(NamedTuple):
    """A document at its latest revision; a deleted one has no text."""

    revision: int
    text: str
    deleted: bool


class IndexEntry(TypedDict):
    """What the index says of one document."""

    revision: int
    deleted: bool


class Index(TypedDict):
    """The store's revision and each document's."""

    revision: int
    documents: dict[str, IndexEntry]


class Change(TypedDict):
    """One document's latest change."""

    name: str
    revision: int
    deleted: bool


class Changes(TypedDict):
    """The store's revision and what changed since an earlier one."""

    revision: int
    changes: list[Change]


class DocumentStore:
    """Documents under one revision that only grows."""

    def __init__(self) -> None:
        self.revision = 0
        self._documents: dict[str, Document] = {}

    def copy(self) -> DocumentStore:
        """Copy the store as it is now.

        :returns: a replica that later changes don't reach.
        """
        replica = DocumentStore()
        replica.revision = self.revision
        replica._documents = dict(self._documents)
        return replica

    def publish(self, name: str, text: str) -> None:
        """Publish a document under the next revision.

        :param name: the document's name.
        :param text: its whole text.
        """
        self.revision += 1
        self._documents[name] = Document(self.revision, text, deleted=False)

    def delete(self, name: str) -> bool:
        """Delete a document under the next revision.

        :param name: the document's name.
        :returns: whether there was one to delete.
        """
        if self.find(name) is None:
            return False
        self.revision += 1
        self._documents[name] = Document(self.revision, '', deleted=True)
        return True

    def find(self, name: str) -> Document | None:
        """Find a document.

        :param name: the document's name.
        :returns: the document, or ``None`` if unknown or deleted.
        """
        document = self._documents.get(name)
        if document is None or document.deleted:
            return None
        return document

    def index(self) -> Index:
        """List every document, the deleted ones too.

        :returns: the store's revision and each document's.
        """
        documents = {
            name: IndexEntry(
                revision=document.revision, deleted=document.deleted
            )
            for name, document in self._documents.items()
        }
        return Index(revision=self.revision, documents=documents)

    def changes_after(self, revision: int) -> Changes:
        """List what changed after a revision.

        :param revision: the last revision that the reader knows.
        :returns: the latest change of each document, oldest first.
        """
        changes = [
            Change(
                name=name,
                revision=document.revision,
                deleted=document.deleted,
            )
            for name, document in self._documents.items()
            if document.revision > revision
        ]
        changes.sort(key=_revision_of)
        return Changes(revision=self.revision, changes=changes)


def _revision_of(change: Change) -> int:
    return change['revision']
