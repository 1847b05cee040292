"""Document kinds for capacity pools, limits, drains and placement."""

from __future__ import annotations

from datetime import datetime
from typing import Annotated

import msgspec

from ospreyford.documents.selectors import Name, Selector
from ospreyford.documents.values import (
    Count,
    DocumentPart,
    PublishedDocument,
    Rate,
    Ratio,
    Title,
    Weight,
)


class RepeatedHome(ValueError):
    """A pool lists one backend server as a home more than once."""

    def __str__(self) -> str:
        """Format the error message.

        :returns: one sentence.
        """
        return 'Expected each home once in homes, new_homes and former_homes'


class NewHome(DocumentPart, frozen=True, kw_only=True):
    """A backend server that holds idempotency keys from a given time.

    :param name: the backend server's lasting name.
    :param since: keys dated before this are not taken there.
    """

    name: Name
    since: Annotated[datetime, msgspec.Meta(tz=True)]


class FormerHome(DocumentPart, frozen=True, kw_only=True):
    """A backend server that held idempotency keys until a given time.

    :param name: the backend server's lasting name.
    :param until: keys dated after this cannot have been taken there.
    """

    name: Name
    until: Annotated[datetime, msgspec.Meta(tz=True)]


class CapacityPool(
    PublishedDocument, frozen=True, kw_only=True, tag='capacity-pool'
):
    """Interchangeable backend servers of one service.

    :param name: what routing intents call it.
    :param service: the service that the backend servers run.
    :param hosts: which hosts belong to it, by their labels.
    :param homes: for services with non-idempotent calls, the names of the
        backend servers that hold idempotency keys.
    :param new_homes: those that hold them from a stated moment on.
    :param former_homes: those that held them earlier.
    """

    name: Name
    service: Name
    hosts: Selector
    homes: tuple[Name, ...] = ()
    new_homes: tuple[NewHome, ...] = ()
    former_homes: tuple[FormerHome, ...] = ()

    def __post_init__(self) -> None:
        names = [
            *self.homes,
            *(home.name for home in self.new_homes),
            *(home.name for home in self.former_homes),
        ]
        if len(names) != len(set(names)):
            raise RepeatedHome


class Limits(DocumentPart, frozen=True, kw_only=True):
    """Limits of one customer; an absent key sets no limit.

    :param requests_per_second: admitted requests.
    :param tokens_per_second: prompt and generated tokens.
    :param concurrency: requests in flight at once.
    :param burst: requests that may come at once above the rate.
    :param weight: share of the capacity under overload.
    """

    requests_per_second: Rate | None = None
    tokens_per_second: Rate | None = None
    concurrency: Count | None = None
    burst: Count | None = None
    weight: Weight | None = None


class CustomerLimit(
    PublishedDocument, frozen=True, kw_only=True, tag='customer-limit'
):
    """Limits that apply to each selected customer separately."""

    customers: Selector
    limits: Limits


class DrainRequest(
    PublishedDocument, frozen=True, kw_only=True, tag='drain-request'
):
    """Hosts that must not receive new work.

    :param hosts: which hosts, by their labels.
    :param reason: shown to operators.
    :param zone: only hosts of this availability zone.
    """

    hosts: Selector
    reason: Title
    zone: Name | None = None


class PlacementWeights(
    PublishedDocument, frozen=True, kw_only=True, tag='placement-weights'
):
    """Cost weights of expert placement for a service.

    :param service: the model service.
    :param skew_weight: cost of step-time skew.
    :param move_weight: cost of moving an expert.
    :param weight_store_bytes_per_second: share of the weight store's rate.
    :param hysteresis: relative gain below which nothing moves.
    """

    service: Name
    skew_weight: Weight = 1
    move_weight: Weight = 1
    weight_store_bytes_per_second: Rate = 50_000_000
    hysteresis: Ratio = 0.05
