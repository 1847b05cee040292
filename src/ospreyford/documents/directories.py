"""Labels of customers and hosts, put together from many documents."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeAlias
from weakref import WeakValueDictionary

from ospreyford.documents.documenttable import Body, BodyChange
from ospreyford.documents.conflicts import (
    Conflict,
    ConflictKind,
    Rule,
    compute_precedence,
    find_deciding_rule,
)
from ospreyford.documents.selectors import Labels

LabelPairs: TypeAlias = tuple[tuple[str, str], ...]
LabelTables: TypeAlias = dict[str, dict[str, str]]


class LabelSet:
    """Labels that many things share; compared by identity.

    :param labels: the labels; never changed afterwards.
    """

    __slots__ = ('__weakref__', 'labels')

    def __init__(self, labels: Labels) -> None:
        self.labels = labels


class LabelInterner:
    """Keeps one label set for all things with the same labels.

    At 37,000 customers with a few hundred distinct combinations, a set of
    its own for each would not fit a process's memory.
    """

    def __init__(self) -> None:
        self._sets: WeakValueDictionary[LabelPairs, LabelSet] = (
            WeakValueDictionary()
        )

    def intern(self, labels: Labels) -> LabelSet:
        """Find or make the label set.

        :param labels: the labels.
        :returns: the one set with these labels.
        """
        key = tuple(sorted(labels.items()))
        shared = self._sets.get(key)
        if shared is None:
            shared = LabelSet(dict(key))
            self._sets[key] = shared
        return shared


class LabelDirectory(Generic[Body]):
    """The merged labels of each customer or host.

    Each label is settled by itself: the document with the higher priority
    wins, then the first name.

    :param kind: what a conflict over such a label is called.
    :param tables_of: labels by id, in a document.
    """

    def __init__(
        self,
        kind: ConflictKind,
        tables_of: Callable[[Body], LabelTables],
    ) -> None:
        self._kind = kind
        self._tables_of = tables_of
        self._interner = LabelInterner()
        self._bodies: dict[str, Body] = {}
        # Only of keys with several: a table of all 37,000 customers took a
        # megabyte, and one more at each change, for a case that is rare.
        self._owners: dict[str, tuple[str, ...]] = {}
        self._merged: dict[str, LabelSet] = {}

    def apply_changes(
        self, changes: tuple[BodyChange[Body], ...]
    ) -> LabelDirectory[Body]:
        """Take in changed documents.

        :param changes: what came, changed or went.
        :returns: a new directory; this one stays as it is.
        """
        directory = LabelDirectory(self._kind, self._tables_of)
        directory._interner = self._interner
        directory._bodies = self._bodies.copy()
        directory._owners = self._owners.copy()
        directory._merged = self._merged.copy()
        affected: set[str] = set()
        for change in changes:
            affected.update(directory._apply_change(change))
        found = directory._find_owners(affected)
        for key in affected:
            directory._merge(key, tuple(found.get(key, ())))
        return directory

    def find(self, key: str) -> LabelSet | None:
        """Look up a customer or host.

        :param key: its id or name.
        :returns: its labels, or ``None`` when no document names it.
        """
        return self._merged.get(key)

    def keys(self) -> Iterator[str]:
        """List the customers or hosts.

        :returns: their ids in no certain order.
        """
        return iter(self._merged)

    def conflicts(self) -> Iterator[Conflict]:
        """List the labels to which documents give different values.

        :returns: one conflict for each value that lost.
        """
        for key, owners in self._owners.items():
            yield from self._label_conflicts(key, owners)

    def _apply_change(self, change: BodyChange[Body]) -> set[str]:
        affected: set[str] = set()
        if change.before is not None:
            self._bodies.pop(change.name)
            affected.update(self._tables_of(change.before))
        if change.after is not None:
            self._bodies[change.name] = change.after
            affected.update(self._tables_of(change.after))
        return affected

    def _find_owners(self, keys: set[str]) -> dict[str, list[str]]:
        owners: dict[str, list[str]] = {}
        for name, body in self._bodies.items():
            for key in keys.intersection(self._tables_of(body)):
                owners.setdefault(key, []).append(name)
        return owners

    def _merge(self, key: str, owners: tuple[str, ...]) -> None:
        if len(owners) > 1:
            self._owners[key] = owners
        else:
            self._owners.pop(key, None)
        if not owners:
            self._merged.pop(key, None)
            return
        merged: dict[str, str] = {}
        for owner in reversed(self._sort_by_precedence(owners)):
            merged.update(self._tables_of(self._bodies[owner])[key])
        self._merged[key] = self._interner.intern(merged)

    def _sort_by_precedence(self, owners: tuple[str, ...]) -> list[str]:
        return sorted(
            owners,
            key=lambda name: compute_precedence(name, self._bodies[name]),
        )

    def _label_conflicts(
        self, key: str, owners: tuple[str, ...]
    ) -> Iterator[Conflict]:
        winners: dict[str, str] = {}
        for owner in self._sort_by_precedence(owners):
            for label, text in self._tables_of(self._bodies[owner])[
                key
            ].items():
                winner = winners.setdefault(label, owner)
                if self._tables_of(self._bodies[winner])[key][label] != text:
                    yield Conflict(
                        self._kind,
                        f'{key}: {label}',
                        winner,
                        owner,
                        self._find_rule(winner, owner),
                    )

    def _find_rule(self, winner: str, loser: str) -> Rule:
        return find_deciding_rule(
            compute_precedence(winner, self._bodies[winner]),
            compute_precedence(loser, self._bodies[loser]),
        )
