"""The kinds of published documents."""

from __future__ import annotations

from typing import Any, TypeAlias, get_args

import msgspec

from ospreyford.documents.capacity import (
    CapacityPool,
    CustomerLimit,
    DrainRequest,
    PlacementWeights,
)
from ospreyford.documents.intents import RoutingIntent
from ospreyford.documents.subjects import (
    CustomerLabels,
    HostLabels,
    Model,
    PlainService,
)

DocumentBody: TypeAlias = (
    RoutingIntent
    | CapacityPool
    | CustomerLimit
    | DrainRequest
    | CustomerLabels
    | HostLabels
    | Model
    | PlainService
    | PlacementWeights
)

#: What may stand under ``kind``.
KINDS = tuple(kind.__struct_config__.tag for kind in get_args(DocumentBody))


def convert_body(table: dict[str, Any]) -> DocumentBody:
    """Check a decoded document against its kind.

    :param table: the document as TOML decodes it.
    :returns: the typed document.
    :raises msgspec.ValidationError: it is not well formed.
    """
    body: DocumentBody = msgspec.convert(table, type=DocumentBody)
    return body
