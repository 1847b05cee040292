"""Documents keyed by the object that they define, such as a pool."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Generic, NamedTuple, TypeVar

from ospreyford.documents.conflicts import (
    Conflict,
    ConflictKind,
    compute_precedence,
    find_deciding_rule,
)
from ospreyford.documents.values import PublishedDocument

Body = TypeVar('Body', bound=PublishedDocument)


class NamedDocument(NamedTuple, Generic[Body]):
    """A document body with its document name."""

    name: str
    body: Body


class BodyChange(NamedTuple, Generic[Body]):
    """A document that was added, changed or removed."""

    name: str
    before: Body | None
    after: Body | None


class DocumentTable(Generic[Body]):
    """The documents that define each named object, the winner first.

    :param kind: the kind of conflict between such documents.
    :param key_of: returns the object's name in a document.
    :param documents: by object name, the winner first.
    """

    def __init__(
        self,
        kind: ConflictKind,
        key_of: Callable[[Body], str],
        documents: Mapping[str, tuple[NamedDocument[Body], ...]] | None = None,
    ) -> None:
        self._kind = kind
        self._key_of = key_of
        self._documents = dict(documents or {})

    def apply_changes(
        self, changes: tuple[BodyChange[Body], ...]
    ) -> DocumentTable[Body]:
        """Apply changed documents.

        :param changes: added, changed and removed documents.
        :returns: a new table; this one is unchanged.
        """
        table = DocumentTable(self._kind, self._key_of, self._documents)
        for change in changes:
            if change.before is not None:
                table._remove(change.name, change.before)
            if change.after is not None:
                table._add(NamedDocument(change.name, change.after))
        return table

    def winner(self, key: str) -> NamedDocument[Body] | None:
        """Look up the document in force for an object.

        :param key: the object's name.
        :returns: the document in force, or ``None``.
        """
        documents = self._documents.get(key)
        return documents[0] if documents else None

    def winners(self) -> Iterator[NamedDocument[Body]]:
        """List the documents in force.

        :returns: one document for each object.
        """
        return (documents[0] for documents in self._documents.values())

    def documents(self) -> Iterator[NamedDocument[Body]]:
        """List all documents, including those that lost a conflict.

        :returns: the documents in unspecified order.
        """
        for documents in self._documents.values():
            yield from documents

    def conflicts(self) -> Iterator[Conflict]:
        """List the conflicts between documents on the same object.

        :returns: one conflict for each losing document.
        """
        for key, documents in self._documents.items():
            winner = documents[0]
            for loser in documents[1:]:
                rule = find_deciding_rule(
                    compute_precedence(*winner), compute_precedence(*loser)
                )
                yield Conflict(self._kind, key, winner.name, loser.name, rule)

    def _add(self, document: NamedDocument[Body]) -> None:
        key = self._key_of(document.body)
        documents = (*self._documents.get(key, ()), document)
        self._documents[key] = tuple(
            sorted(documents, key=lambda known: compute_precedence(*known))
        )

    def _remove(self, name: str, body: Body) -> None:
        key = self._key_of(body)
        kept = tuple(
            document
            for document in self._documents[key]
            if document.name != name
        )
        if kept:
            self._documents[key] = kept
        else:
            self._documents.pop(key)
