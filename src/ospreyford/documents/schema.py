"""Kinds of published documents and their validation."""

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

Kinds: TypeAlias = tuple[type[PublishedDocument], ...]

ALL_KINDS: Kinds = get_args(DocumentBody)

#: Kinds that an agent uses; it drops the others to save memory.
AGENT_KINDS: Kinds = (
    DrainRequest,
    HostLabels,
    Model,
    PlainService,
    PlacementWeights,
)

#: Allowed values of ``kind``.
KIND_TAGS = tuple(kind.__struct_config__.tag for kind in ALL_KINDS)


def select_kinds(role: str) -> Kinds:
    """Select the kinds of documents that a process keeps.

    :param role: ``entry`` or ``backend``.
    :returns: the kinds whose content it must keep.
    """
    return AGENT_KINDS if role == 'backend' else ALL_KINDS


def convert_body(table: dict[str, Any]) -> DocumentBody:
    """Validate a decoded document against its kind.

    :param table: the document as TOML decodes it.
    :returns: the typed document.
    :raises msgspec.ValidationError: it is not well formed.
    """
    body: DocumentBody = msgspec.convert(table, type=DocumentBody)
    return body
