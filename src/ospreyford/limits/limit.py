"""Customer limits and the answers of the gate."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class Limit(NamedTuple):
    """What a customer may use over all entries together.

    :param requests: requests a second.
    :param tokens: tokens a second, prompt and answer.
    :param concurrency: requests running at once.
    :param weight: share in the fair queue relative to other customers.
    :param burst: requests that may come at once above the rate; ``None``
        leaves it to the gate's settings.
    """

    requests: float = float('inf')
    tokens: float = float('inf')
    concurrency: float = float('inf')
    weight: float = 1
    burst: float | None = None


@dataclass(frozen=True)
class Admitted:
    """The request may go on; release it when it ends."""


@dataclass(frozen=True)
class RequestRateExceeded:
    """More requests a second than the customer's limit.

    :param limit: requests a second allowed at this entry now.
    """

    limit: float


@dataclass(frozen=True)
class TokenRateExceeded:
    """More tokens a second than the customer's limit.

    :param limit: tokens a second allowed at this entry now.
    """

    limit: float


@dataclass(frozen=True)
class ConcurrencyExceeded:
    """More requests at once than the customer's limit.

    :param limit: requests allowed at once at this entry now.
    """

    limit: float


LimitReason = RequestRateExceeded | TokenRateExceeded | ConcurrencyExceeded


@dataclass(frozen=True)
class Refused:
    """The request was refused at once, so it was not run.

    :param reason: why.
    :param retry_after: seconds after which coming back may help.
    """

    reason: LimitReason
    retry_after: float
