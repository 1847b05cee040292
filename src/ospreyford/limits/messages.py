"""Messages about leased parts of customer limits."""

from __future__ import annotations

from typing import Annotated

import msgspec

Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Demand = Annotated[float, msgspec.Meta(ge=0)]


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True):
    """One customer's part of an asking.

    :param customer: name of the customer.
    :param demand: requests a second that came for it at the asking entry.
    :param held: number of the newest lease that the entry has taken over;
        0 for none. It uses no earlier one any more.
    """

    customer: str
    demand: Demand
    held_number: int


class LeaseQuery(msgspec.Struct, frozen=True, array_like=True):
    """An entry asks a home entry for leases.

    :param entry: name of the asking entry.
    :param home_incarnation: the home's incarnation that the numbers in
        ``held`` are of.
    :param requests: one for each customer.
    """

    entry: str
    owner_incarnation: str
    requests: list[LeaseRequest]


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """A leased part of one customer's limit.

    :param customer: name of the customer.
    :param fraction: part of the limit.
    :param number: number of the lease at this home, rising.
    """

    customer: str
    fraction: Fraction
    number: int


class LeaseResponse(msgspec.Struct, frozen=True, array_like=True):
    """A home entry's answer; customers without a lease are left out.

    :param home_incarnation: incarnation of the home.
    :param leases: the leases granted, each for the settings' lease time
        from the moment that the asking entry *sent* its question.
    """

    owner_incarnation: str
    leases: list[Lease]
