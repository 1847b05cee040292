"""Port of the configuration service."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

import msgspec

#: Tells by a document's name and text whether it is valid. Must be
#: deterministic, so that all processes agree.
WellFormedCheck = Callable[[str, bytes], bool]


class ServiceUnavailable(Exception):
    """The service did not reply, or its reply was not usable."""


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """The newest change of a document."""

    name: str
    revision: int
    deleted: bool = False


class ListedDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A document of a listing."""

    revision: int
    deleted: bool = False


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """Revisions of all documents, including deleted ones."""

    revision: int
    documents: Mapping[str, ListedDocument] = {}


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """The changes after the requested revision, up to ``revision``."""

    revision: int
    changes: tuple[Change, ...] = ()


class DocumentText(msgspec.Struct, frozen=True, kw_only=True):
    """A document's text and its revision."""

    revision: int
    text: bytes


class DocumentService(Protocol):
    """The configuration service; each call counts against its rate limit."""

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
    """The configuration service and the validity check of texts."""

    service: DocumentService
    is_well_formed: WellFormedCheck
