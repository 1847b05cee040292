"""Finds the selectors that match some labels without trying them all."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, NamedTuple, TypeAlias

from ospreyford.documents.claims import Body, BodyChange, Claim
from ospreyford.documents.selectors import (
    Equals,
    Exists,
    Labels,
    NoneOf,
    OneOf,
    Selector,
)


class Anchor(NamedTuple):
    """A label that a matching thing must have; no value means any."""

    label: str = ''
    text: str | None = None


#: Anchor of the selectors that no one label narrows down.
UNANCHORED = Anchor()

Postings: TypeAlias = dict[Anchor, tuple[Claim[Body], ...]]


class SelectorIndex(Generic[Body]):
    """Documents by what their selector requires.

    A document is filed under one of its selector's terms, the one with the
    fewest other documents; only those filed under a label that the thing
    has are tried. The choice affects the time, never the outcome.

    :param selector_of: the selector in a document.
    """

    def __init__(self, selector_of: Callable[[Body], Selector]) -> None:
        self._selector_of = selector_of
        self._postings: Postings[Body] = {}
        self._anchors: dict[str, tuple[Anchor, ...]] = {}

    def replaced(
        self, changes: tuple[BodyChange[Body], ...]
    ) -> SelectorIndex[Body]:
        """Take in changed documents.

        :param changes: what came, changed or went.
        :returns: a new index; this one stays as it is.
        """
        index = SelectorIndex(self._selector_of)
        index._postings = self._postings.copy()
        index._anchors = self._anchors.copy()
        for change in changes:
            if change.before is not None:
                index._remove(change.name)
            if change.after is not None:
                index._add(Claim(change.name, change.after))
        return index

    def matching(self, labels: Labels) -> Iterator[Claim[Body]]:
        """Find the documents that select a thing.

        :param labels: the thing's labels.
        :returns: the documents in no certain order.
        """
        for claim in self._candidates(labels):
            if self._selector_of(claim.body).matches(labels):
                yield claim

    def claims(self) -> Iterator[Claim[Body]]:
        """List all documents.

        :returns: the documents in no certain order.
        """
        seen: set[str] = set()
        for posting in self._postings.values():
            for claim in posting:
                if claim.name not in seen:
                    seen.add(claim.name)
                    yield claim

    def texts_of(self, label: str) -> frozenset[str]:
        """Collect what the selectors compare one label with.

        :param label: the label's name.
        :returns: all values that any term on it names.
        """
        texts: set[str] = set()
        for claim in self.claims():
            for term in self._selector_of(claim.body).all_terms():
                if term.label == label:
                    texts.update(texts_in(term))
        return frozenset(texts)

    def _candidates(self, labels: Labels) -> Iterator[Claim[Body]]:
        yield from self._postings.get(UNANCHORED, ())
        for label, text in labels.items():
            yield from self._postings.get(Anchor(label, text), ())
            yield from self._postings.get(Anchor(label), ())

    def _add(self, claim: Claim[Body]) -> None:
        choices = _anchor_choices(self._selector_of(claim.body))
        anchors = min(choices, key=self._count, default=(UNANCHORED,))
        self._anchors[claim.name] = anchors
        for anchor in anchors:
            posting = self._postings.get(anchor, ())
            self._postings[anchor] = (*posting, claim)

    def _remove(self, name: str) -> None:
        for anchor in self._anchors.pop(name):
            posting = self._postings[anchor]
            self._postings[anchor] = tuple(
                claim for claim in posting if claim.name != name
            )

    def _count(self, anchors: tuple[Anchor, ...]) -> int:
        return sum(len(self._postings.get(anchor, ())) for anchor in anchors)


def texts_in(term: object) -> tuple[str, ...]:
    """List the values that a term names.

    :param term: a term of a selector.
    :returns: its values; none where it asks for presence only.
    """
    match term:
        case Equals(value=text):
            return (text,)
        case OneOf(values=texts) | NoneOf(values=texts):
            return texts
    return ()


def _anchor_choices(selector: Selector) -> list[tuple[Anchor, ...]]:
    choices: list[tuple[Anchor, ...]] = []
    for term in selector.all_terms():
        match term:
            case Equals(label=label, value=text):
                choices.append((Anchor(label, text),))
            case OneOf(label=label, values=texts):
                distinct = sorted(set(texts))
                choices.append(tuple(Anchor(label, text) for text in distinct))
            case Exists(label=label):
                choices.append((Anchor(label),))
    return choices
