"""Inverted index from labels to the selectors that may match them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, NamedTuple, TypeAlias

from ospreyford.documents.documenttable import Body, BodyChange, NamedDocument
from ospreyford.documents.selectors import (
    Equals,
    Exists,
    Labels,
    NoneOf,
    OneOf,
    Selector,
)


class IndexKey(NamedTuple):
    """A label that a selector requires; no value means any value."""

    label: str = ''
    value: str | None = None


#: Key of selectors that require no specific label.
CATCH_ALL_KEY = IndexKey()

Postings: TypeAlias = dict[IndexKey, tuple[NamedDocument[Body], ...]]


class SelectorIndex(Generic[Body]):
    """Documents indexed by a label that their selector requires.

    Each document is stored under the term with the fewest documents.

    :param selector_of: returns the selector of a document.
    """

    def __init__(self, selector_of: Callable[[Body], Selector]) -> None:
        self._selector_of = selector_of
        self._postings: Postings[Body] = {}
        self._keys_by_document: dict[str, tuple[IndexKey, ...]] = {}

    def apply_changes(
        self, changes: tuple[BodyChange[Body], ...]
    ) -> SelectorIndex[Body]:
        """Apply changed documents.

        :param changes: added, changed and removed documents.
        :returns: a new index; this one is unchanged.
        """
        index = SelectorIndex(self._selector_of)
        index._postings = self._postings.copy()
        index._keys_by_document = self._keys_by_document.copy()
        for change in changes:
            if change.before is not None:
                index._remove(change.name)
            if change.after is not None:
                index._add(NamedDocument(change.name, change.after))
        return index

    def matching(self, labels: Labels) -> Iterator[NamedDocument[Body]]:
        """Find the documents whose selector matches.

        :param labels: the labels to match.
        :returns: the documents in unspecified order.
        """
        for document in self._candidates(labels):
            if self._selector_of(document.body).matches(labels):
                yield document

    def documents(self) -> Iterator[NamedDocument[Body]]:
        """List all documents.

        :returns: the documents in unspecified order.
        """
        seen: set[str] = set()
        for posting in self._postings.values():
            for document in posting:
                if document.name not in seen:
                    seen.add(document.name)
                    yield document

    def collect_values(self, label: str) -> frozenset[str]:
        """Collect the values that selectors compare a label with.

        :param label: the label's name.
        :returns: the values in all terms on the label.
        """
        values: set[str] = set()
        for document in self.documents():
            for term in self._selector_of(document.body).all_terms():
                if term.label == label:
                    values.update(list_values(term))
        return frozenset(values)

    def _candidates(self, labels: Labels) -> Iterator[NamedDocument[Body]]:
        yield from self._postings.get(CATCH_ALL_KEY, ())
        for label, value in labels.items():
            yield from self._postings.get(IndexKey(label, value), ())
            yield from self._postings.get(IndexKey(label), ())

    def _add(self, document: NamedDocument[Body]) -> None:
        choices = _list_key_choices(self._selector_of(document.body))
        keys = min(choices, key=self._count_postings, default=(CATCH_ALL_KEY,))
        self._keys_by_document[document.name] = keys
        for key in keys:
            posting = self._postings.get(key, ())
            self._postings[key] = (*posting, document)

    def _remove(self, name: str) -> None:
        for key in self._keys_by_document.pop(name):
            posting = self._postings[key]
            self._postings[key] = tuple(
                document for document in posting if document.name != name
            )

    def _count_postings(self, keys: tuple[IndexKey, ...]) -> int:
        return sum(len(self._postings.get(key, ())) for key in keys)


def list_values(term: object) -> tuple[str, ...]:
    """List the values of a term.

    :param term: a term of a selector.
    :returns: its values; none for presence terms.
    """
    match term:
        case Equals(value=value):
            return (value,)
        case OneOf(values=values) | NoneOf(values=values):
            return values
    return ()


def _list_key_choices(selector: Selector) -> list[tuple[IndexKey, ...]]:
    choices: list[tuple[IndexKey, ...]] = []
    for term in selector.all_terms():
        match term:
            case Equals(label=label, value=value):
                choices.append((IndexKey(label, value),))
            case OneOf(label=label, values=values):
                distinct = sorted(set(values))
                choices.append(
                    tuple(IndexKey(label, value) for value in distinct)
                )
            case Exists(label=label):
                choices.append((IndexKey(label),))
    return choices
