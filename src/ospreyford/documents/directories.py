"""Merged labels of customers and hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeAlias
from weakref import WeakValueDictionary

from ospreyford.documents.conflicts import (
    Conflict,
    ConflictKind,
    Rule,
    compute_precedence,
    find_deciding_rule,
)
from ospreyford.documents.documenttable import Body, BodyChange
from ospreyford.documents.selectors import Labels

LabelPairs: TypeAlias = tuple[tuple[str, str], ...]
LabelTables: TypeAlias = dict[str, dict[str, str]]


class LabelSet:
    """A shared, immutable set of labels, compared by identity.

    :param labels: the labels.
    """

    __slots__ = ('__weakref__', 'labels')

    def __init__(self, labels: Labels) -> None:
        self.labels = labels


class LabelInterner:
    """Interns label sets, which saves memory with many customers."""

    def __init__(self) -> None:
        self._sets: WeakValueDictionary[LabelPairs, LabelSet] = (
            WeakValueDictionary()
        )

    def intern(self, labels: Labels) -> LabelSet:
        """Return the shared label set for some labels.

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

    Conflicts are resolved per label: the higher priority wins, then the
    first document name.

    :param kind: the kind of conflict over such a label.
    :param tables_of: returns the label tables by id in a document.
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
        # Holds only keys with several documents, to save memory.
        self._owners: dict[str, tuple[str, ...]] = {}
        self._merged: dict[str, LabelSet] = {}

    def apply_changes(
        self, changes: tuple[BodyChange[Body], ...]
    ) -> LabelDirectory[Body]:
        """Apply changed documents.

        :param changes: added, changed and removed documents.
        :returns: a new directory; this one is unchanged.
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

        :returns: their ids in unspecified order.
        """
        return iter(self._merged)

    def conflicts(self) -> Iterator[Conflict]:
        """List the conflicts over label values.

        :returns: one conflict for each losing value.
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
