"""State of the stand-in of the platform's store."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple


class StoredItem(NamedTuple):
    """Value of a key.

    :param raw: the value.
    :param revision: revision of its last change.
    """

    raw: bytes
    revision: int


class StoredChange(NamedTuple):
    """One change.

    :param key: the changed key.
    :param raw: its new value, or ``None`` if it was deleted.
    :param revision: revision of the change.
    """

    key: str
    raw: bytes | None
    revision: int


class StoreCopy(NamedTuple):
    """Copy of the store at a moment.

    :param items: values by key.
    :param changes: history that a watch can read.
    :param revision: revision of the latest change.
    """

    items: dict[str, StoredItem]
    changes: tuple[StoredChange, ...]
    revision: int


@dataclass
class StoreState:
    """Items, their changes, and the generation of the store.

    :param items: values by key.
    :param changes: history that a watch can read.
    :param revision: revision of the latest change.
    :param compacted_revision: changes up to it are no longer available.
    :param generation: number of restores, as told in each response; ``None``
        if responses tell none.
    """

    items: dict[str, StoredItem] = field(default_factory=dict)
    changes: list[StoredChange] = field(default_factory=list)
    revision: int = 5
    compacted_revision: int = 0
    generation: int | None = None

    def put(self, key: str, raw: bytes | None) -> None:
        """Write or delete a value.

        :param key: its key.
        :param raw: the value, or ``None`` to delete it.
        """
        self.revision += 1
        self.changes.append(StoredChange(key, raw, self.revision))
        if raw is None:
            self.items.pop(key, None)
        else:
            self.items[key] = StoredItem(raw, self.revision)

    def compact(self) -> None:
        """Discard the history."""
        self.compacted_revision = self.revision
        self.changes.clear()

    def make_copy(self) -> StoreCopy:
        """Copy items and history.

        :returns: the copy.
        """
        return StoreCopy(dict(self.items), tuple(self.changes), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: what was written since is gone.

        :param copy: an earlier copy; its next revision is given out again.
        """
        self.items = dict(copy.items)
        self.changes = list(copy.changes)
        self.revision = copy.revision
        if self.generation is not None:
            self.generation += 1

    def has_history(self, after: int) -> bool:
        """Check whether a watch can start after a revision.

        :param after: the revision.
        :returns: whether all later changes are known.
        """
        return self.compacted_revision <= after <= self.revision

    def list_changes(self, after: int) -> list[StoredChange]:
        """List the changes after a revision.

        :param after: the revision.
        :returns: the changes, in order.
        """
        return [change for change in self.changes if change.revision > after]
