"""Requests of the two deployments for the queue model."""

from __future__ import annotations

from math import pi, sin
from random import Random
from typing import NamedTuple

#: Customers of each deployment, and how many of them are large.
CUSTOMERS = 10
LARGE = 3
#: Part of the traffic that the large customers send.
LARGE_SHARE = 0.75
#: Prompt prefixes of each customer.
TEMPLATES = 6
#: Seconds between two departure banks.
BANK_SECONDS = 20


class Deployment(NamedTuple):
    """Sizes and speeds of one service.

    :param name: shown in the tables.
    :param replicas: back ends, spread over three zones.
    :param slots: requests that one back end runs at once.
    :param prefix_seconds: time to compute a prefix that is not cached.
    :param step_seconds: time for one token.
    :param tokens: mean tokens of an answer.
    :param cached: prefixes that one back end's cache holds.
    :param patience: seconds until a request's deadline.
    :param favourite: part of the requests that go to the favourite template
        of the pressure (letters in pension season, meals in fasting).
    :param swing: how far the rate swings around its mean.
    """

    name: str
    replicas: int = 12
    slots: int = 8
    prefix_seconds: float = 0.25
    step_seconds: float = 0.005
    tokens: int = 100
    cached: int = 16
    patience: float = 8
    favourite: float = 0
    swing: float = 0

    @property
    def capacity(self) -> float:
        """Requests a second that all back ends can do if every prefix hits."""
        return self.replicas * self.slots / (self.tokens * self.step_seconds)


LETTERS = 0.6
MEALS = 0.4
BANKS = 0.6
#: Spread of the answers' lengths around their mean.
SHORTEST = 0.5
LONGEST = 1.5

OFFICE = Deployment('office: drafting, pension season', favourite=LETTERS)
CATERER = Deployment(
    'caterer: order assistant, fasting, banks', favourite=MEALS, swing=BANKS
)
QUOTATION = Deployment(
    'office: quotation (plain)',
    replicas=3,
    slots=4,
    prefix_seconds=0,
    tokens=8,
    patience=2,
)
ORDER_DESK = QUOTATION._replace(
    name='caterer: order desk (plain)', tokens=10, swing=BANKS
)


class Job:
    """One request in the model.

    :param number: unique.
    :param customer: number of the customer.
    :param prefix: number of its prompt prefix.
    :param tokens: length of its answer.
    :param arrived_at: when it came, in seconds of model time.
    """

    def __init__(
        self,
        number: int,
        customer: int,
        prefix: int,
        tokens: int,
        arrived_at: float,
    ) -> None:
        self.number = number
        self.customer = customer
        self.prefix = prefix
        self.tokens = tokens
        self.arrived_at = arrived_at
        self.attempts = 0
        self.sent_at: float = 0


class Arrivals:
    """Seeded stream of requests.

    :param deployment: whose requests.
    :param load: part of the capacity that is asked for.
    :param seed: of the random numbers; the same for every policy.
    """

    def __init__(self, deployment: Deployment, load: float, seed: int) -> None:
        self._deployment = deployment
        self._rate = deployment.capacity * load
        self._rng = Random(seed)
        self._count = 0

    def next(self, now: float) -> Job:
        """Make the next request.

        :param now: when the one before came, in seconds of model time.
        :returns: the request; it comes later.
        """
        swing = self._deployment.swing * sin(2 * pi * now / BANK_SECONDS)
        at = now + self._rng.expovariate(self._rate * (1 + swing))
        customer = self._draw_customer()
        template = self._draw_template()
        spread = self._rng.uniform(SHORTEST, LONGEST)
        tokens = max(1, round(self._deployment.tokens * spread))
        self._count += 1
        prefix = customer * TEMPLATES + template
        return Job(self._count, customer, prefix, tokens, at)

    def _draw_customer(self) -> int:
        if self._rng.random() < LARGE_SHARE:
            return self._rng.randrange(LARGE)
        return self._rng.randrange(LARGE, CUSTOMERS)

    def _draw_template(self) -> int:
        if self._rng.random() < self._deployment.favourite:
            return 0
        return self._rng.randrange(TEMPLATES)
