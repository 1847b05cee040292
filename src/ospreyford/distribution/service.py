"""The configuration service as the decisions see it: read and watch."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

import msgspec

#: Tells by a document's name and text whether it could be put in force. The
#: same answer on every process; texts are opaque to the distribution.
WellFormedCheck = Callable[[str, bytes], bool]


class ServiceUnavailable(Exception):
    """The service did not answer, or not with what was asked for."""


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """The newest change of one document."""

    name: str
    revision: int
    deleted: bool = False


class ListedDocument(msgspec.Struct, frozen=True, kw_only=True):
    """One document of a listing."""

    revision: int
    deleted: bool = False


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """Every document's revision, deleted ones included."""

    revision: int
    documents: Mapping[str, ListedDocument] = {}


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """What changed behind a revision, up to the answer's own one."""

    revision: int
    changes: tuple[Change, ...] = ()


class DocumentText(msgspec.Struct, frozen=True, kw_only=True):
    """A document's text and the revision that it belongs to."""

    revision: int
    text: bytes


class DocumentService(Protocol):
    """The configuration service; each call counts against its rate."""

    async def list_documents(self) -> Listing:
        """List all documents.

        :returns: names and revisions.
        :raises ServiceUnavailable: no usable answer.
        """

    async def read_document(self, name: str) -> DocumentText:
        """Read one document.

        :param name: the document's name.
        :returns: its text and revision.
        :raises ServiceUnavailable: no usable answer, or no such document.
        """

    async def watch(self, after: int, wait: float) -> Changes:
        """Wait for changes.

        :param after: the revision whose later changes are asked for.
        :param wait: seconds after which an empty answer comes.
        :returns: the changes, one for each document that changed.
        :raises ServiceUnavailable: no usable answer.
        """


class DocumentSource(NamedTuple):
    """Where documents come from, and which of them are well formed."""

    service: DocumentService
    is_well_formed: WellFormedCheck
