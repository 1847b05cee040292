"""Customer limits and admission verdicts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class Limit(NamedTuple):
    """Limit of a customer over all entries.

    :param requests: requests per second.
    :param tokens: tokens per second, prompt and response.
    :param concurrency: concurrent requests.
    :param weight: relative weight in the fair queue.
    :param burst: burst of requests; ``None`` for the default of the settings.
    """

    requests: float = float('inf')
    tokens: float = float('inf')
    concurrency: float = float('inf')
    weight: float = 1
    burst: float | None = None


@dataclass(frozen=True)
class Admitted:
    """The request is admitted; release it when it ends."""


@dataclass(frozen=True)
class RequestRateExceeded:
    """The request rate exceeds the customer's limit.

    :param limit: requests per second currently allowed at this entry.
    """

    limit: float


@dataclass(frozen=True)
class TokenRateExceeded:
    """The token rate exceeds the customer's limit.

    :param limit: tokens per second currently allowed at this entry.
    """

    limit: float


@dataclass(frozen=True)
class ConcurrencyExceeded:
    """The concurrent requests exceed the customer's limit.

    :param limit: concurrent requests currently allowed at this entry.
    """

    limit: float


LimitReason = RequestRateExceeded | TokenRateExceeded | ConcurrencyExceeded


@dataclass(frozen=True)
class Refused:
    """The request was refused and not run.

    :param reason: the exceeded limit.
    :param retry_after: seconds after which to retry.
    """

    reason: LimitReason
    retry_after: float
