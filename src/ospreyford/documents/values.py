"""What the values of documents may be, and what all documents share."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ospreyford.documents.selectors import LabelName, LabelText, Name

TITLE_CHARACTERS = 200
LARGEST_COUNT = 1_000_000_000
LARGEST_WEIGHT = 1_000_000
LARGEST_PRIORITY = 1000
TEN_MINUTES = 600_000

Title = Annotated[str, msgspec.Meta(min_length=1, max_length=TITLE_CHARACTERS)]
Priority = Annotated[
    int, msgspec.Meta(ge=-LARGEST_PRIORITY, le=LARGEST_PRIORITY)
]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=LARGEST_COUNT)]
Count = Annotated[int, msgspec.Meta(ge=1, le=LARGEST_COUNT)]
Weight = Annotated[float, msgspec.Meta(gt=0, le=LARGEST_WEIGHT)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=TEN_MINUTES)]
LabelTable = dict[LabelName, LabelText]


class Part(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base of the tables inside a document."""


class PublishedDocument(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field='kind',
):
    """Base of all kinds: what every document says of itself.

    :param team: who published it.
    :param title: what it is for, for operators to read.
    :param priority: settles conflicts; the higher wins.
    """

    team: Name
    title: Title
    priority: Priority = 0
