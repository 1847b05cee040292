"""Messages of the limit-lease protocol between entries."""

from __future__ import annotations

from typing import Annotated

import msgspec

Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
RequestRate = Annotated[float, msgspec.Meta(ge=0)]


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for a lease on one customer's limit.

    :param customer: name of the customer.
    :param demand: requests per second received by the requesting entry.
    :param held_number: number of the newest lease that the entry holds, 0 for
        none; acknowledges it and gives up earlier ones.
    """

    customer: str
    demand: RequestRate
    held_number: int


class LeaseQuery(msgspec.Struct, frozen=True, array_like=True):
    """Lease requests of one entry to an owner.

    :param entry: name of the requesting entry.
    :param owner_incarnation: incarnation of the owner that ``held_number``
        refers to.
    :param requests: one for each customer.
    """

    entry: str
    owner_incarnation: str
    requests: list[LeaseRequest]


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """Leased fraction of one customer's limit.

    :param customer: name of the customer.
    :param fraction: fraction of the limit, 0 to 1.
    :param number: number of the lease, increasing at each owner incarnation.
    """

    customer: str
    fraction: Fraction
    number: int


class LeaseResponse(msgspec.Struct, frozen=True, array_like=True):
    """Owner's response; customers without a lease are omitted.

    :param owner_incarnation: incarnation of the owner.
    :param leases: the granted leases; their duration counts from when the
        requesting entry *sent* its query.
    """

    owner_incarnation: str
    leases: list[Lease]
