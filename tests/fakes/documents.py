"""A configuration service in memory, with its older replicas."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ospreyford.distribution.service import (
    Change,
    Changes,
    DocumentText,
    ListedDocument,
    Listing,
    ServiceUnavailable,
)


class Published(NamedTuple):
    revision: int
    text: bytes
    deleted: bool = False


@dataclass
class FakeStore:
    """What one replica of the service holds."""

    revision: int = 0
    documents: dict[str, Published] = field(default_factory=dict)

    def publish(self, name: str, text: bytes) -> None:
        self.revision += 1
        self.documents[name] = Published(self.revision, text)

    def delete(self, name: str) -> None:
        self.revision += 1
        self.documents[name] = Published(self.revision, b'', deleted=True)

    def copy(self) -> FakeStore:
        return FakeStore(self.revision, dict(self.documents))

    def listing(self) -> Listing:
        listed = {
            name: ListedDocument(revision=one.revision, deleted=one.deleted)
            for name, one in self.documents.items()
        }
        return Listing(revision=self.revision, documents=listed)

    def read(self, name: str) -> DocumentText:
        one = self.documents.get(name)
        if one is None or one.deleted:
            raise ServiceUnavailable
        return DocumentText(revision=one.revision, text=one.text)

    def changes(self, after: int) -> Changes:
        changed = tuple(
            Change(name=name, revision=one.revision, deleted=one.deleted)
            for name, one in self.documents.items()
            if one.revision > after
        )
        return Changes(revision=self.revision, changes=changed)
