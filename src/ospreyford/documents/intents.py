"""Routing intents, which map customers to capacity pools."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

from ospreyford.documents.selectors import LabelValue, Name, Selector
from ospreyford.documents.values import (
    DocumentPart,
    Milliseconds,
    PublishedDocument,
    Ratio,
)

MAX_POOLS = 32


class ZonePreference(StrEnum):
    """The order of backend servers by locality; it excludes none."""

    same_zone = 'same-zone'
    same_region = 'same-region'
    anywhere = 'anywhere'


class Allowances(DocumentPart, frozen=True, kw_only=True):
    """Retry and hedging budgets.

    :param retries: attempts after the first, for one request.
    :param retry_ratio: retries, as a share of all requests of the intent.
    :param hedge_after_milliseconds: when a second attempt starts beside a
        slow first one; absent means never.
    :param hedge_ratio: hedged requests, as a share of all.
    """

    retries: Annotated[int, msgspec.Meta(ge=0, le=5)] = 1
    retry_ratio: Ratio = 0.1
    hedge_after_milliseconds: Milliseconds | None = None
    hedge_ratio: Ratio = 0.02


class ServiceNotNamed(ValueError):
    """An intent needs exactly one of ``service`` and ``services``."""

    def __str__(self) -> str:
        """Format the error message.

        :returns: one sentence.
        """
        return 'Expected exactly one of `service` and `services`'


class RoutingIntent(
    PublishedDocument, frozen=True, kw_only=True, tag='routing-intent'
):
    """Which pools serve which customers.

    :param customers: which customers it is about.
    :param service: the one service it is about, by name; or
    :param services: a selector over the services' labels.
    :param pools: names of capacity pools, the preferred first.
    :param model_version: the version to ask the engine for.
    :param adapter: the adapter to ask the engine for.
    :param request_priority: handed to the engine; 9 is the most urgent.
    :param allowances: retries and hedging.
    :param zone_preference: which back ends come first.
    """

    customers: Selector
    pools: Annotated[
        tuple[Name, ...], msgspec.Meta(min_length=1, max_length=MAX_POOLS)
    ]
    service: Name | None = None
    services: Selector | None = None
    model_version: LabelValue | None = None
    adapter: LabelValue | None = None
    request_priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    allowances: Allowances = Allowances()
    zone_preference: ZonePreference = ZonePreference.same_zone

    def __post_init__(self) -> None:
        if (self.service is None) == (self.services is None):
            raise ServiceNotNamed
