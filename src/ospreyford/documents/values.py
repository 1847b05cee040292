"""Value types and base classes of documents."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ospreyford.documents.selectors import LabelName, LabelValue, Name

MAX_TITLE_CHARACTERS = 200
MAX_COUNT = 1_000_000_000
MAX_WEIGHT = 1_000_000
MAX_PRIORITY = 1000
MAX_DURATION_MS = 600_000

Title = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_TITLE_CHARACTERS)
]
Priority = Annotated[int, msgspec.Meta(ge=-MAX_PRIORITY, le=MAX_PRIORITY)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=MAX_COUNT)]
Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Weight = Annotated[float, msgspec.Meta(gt=0, le=MAX_WEIGHT)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_MS)]
LabelTable = dict[LabelName, LabelValue]


class DocumentPart(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base class of tables inside a document."""


class PublishedDocument(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field='kind',
):
    """Base class of all document kinds.

    :param team: who published it.
    :param title: what it is for, for operators to read.
    :param priority: settles conflicts; the higher wins.
    """

    team: Name
    title: Title
    priority: Priority = 0
