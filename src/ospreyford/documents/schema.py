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
from ospreyford.documents.values import PublishedDocument

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

#: Kinds of documents, as ``isinstance`` takes them.
Kinds: TypeAlias = tuple[type[PublishedDocument], ...]

ALL_KINDS: Kinds = get_args(DocumentBody)

#: What an agent decides by: drain requests, the labels that these select
#: hosts by, services, and the weights of a rank group. The customers, intents
#: and limits took 9 MB of its 64 MB.
AGENT_KINDS: Kinds = (
    DrainRequest,
    HostLabels,
    Model,
    PlainService,
    PlacementWeights,
)

#: What may stand under ``kind``.
KIND_TAGS = tuple(kind.__struct_config__.tag for kind in ALL_KINDS)


def select_kinds(role: str) -> Kinds:
    """Say which kinds of documents a process decides by.

    :param role: ``entry`` or ``backend``.
    :returns: the kinds whose content it has to keep.
    """
    return AGENT_KINDS if role == 'backend' else ALL_KINDS


def convert_body(table: dict[str, Any]) -> DocumentBody:
    """Check a decoded document against its kind.

    :param table: the document as TOML decodes it.
    :returns: the typed document.
    :raises msgspec.ValidationError: it is not well formed.
    """
    body: DocumentBody = msgspec.convert(table, type=DocumentBody)
    return body
