"""Seeded models of expert popularity that drifts."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from operator import mul
from typing import NamedTuple

HOUR = 3600
#: Seconds between load reports.
INTERVAL = 60
#: Zipf exponent of one kind of traffic's expert popularity.
ZIPF_EXPONENT = 0.8
#: Spread of the factor that a report's figure of an expert is off by.
NOISE = 0.08
#: Spread of each expert's own random walk, for one hour.
WALK = 0.05
#: Tokens of one layer in one report.
LAYER_TOKENS = 1_000_000
#: Share of the growing kind of traffic before it grows.
START_SHARE = 0.1
#: What the share of beneficiary letters grows by.
LETTER_GROWTH = 0.7
#: What the share of special meals grows by.
FASTING_GROWTH = 0.4
#: Share of the traffic that a departure bank takes.
BANK_SHARE = 0.7

Tokens = tuple[tuple[float, ...], ...]


@dataclass(frozen=True)
class PensionSeason:
    """Traffic turns from quotes to beneficiary letters, and stays there.

    :param starts: when the turn begins, in seconds.
    :param lasts: how long it takes, in seconds.
    """

    starts: float = 14_400
    lasts: float = 36_000


@dataclass(frozen=True)
class DepartureBanks:
    """Sharp swings that come back, while a fasting period sets in.

    :param period: from one bank to the next, in seconds.
    :param lasts: how long a bank lasts, in seconds.
    :param ramp: how long a bank takes to come and to go, in seconds.
    :param fasting_starts: when special meals begin to grow, in seconds.
    :param fasting_lasts: how long that takes, in seconds.
    """

    period: float = 14_400
    lasts: float = 3000
    ramp: float = 300
    fasting_starts: float = 43_200
    fasting_lasts: float = 10_800


Drift = PensionSeason | DepartureBanks


class Moment(NamedTuple):
    """Popularity at one moment.

    :param at: seconds since the run began.
    :param truth: tokens of each expert in each layer, as the engines see.
    :param report: the same with the noise of one report.
    """

    at: float
    truth: Tokens
    report: Tokens


def generate_moments(
    drift: Drift, layers: int, experts: int, hours: float, seed: int = 0
) -> Iterator[Moment]:
    """Run a drift model; the same arguments give the same moments.

    :param drift: what changes.
    :param layers: layers with experts.
    :param experts: experts in each layer.
    :param hours: how long to run.
    :param seed: another one gives other popularities and noise.
    :yields: the popularity at each moment.
    """
    generator = random.Random(f'{drift} {layers} {experts} {seed}')
    kinds = [_draw_kind(generator, layers, experts) for _ in range(3)]
    walks = [[float(0) for _ in range(experts)] for _ in range(layers)]
    step = WALK * math.sqrt(INTERVAL / HOUR)
    for index in range(int(hours * HOUR / INTERVAL)):
        at = index * INTERVAL
        shares = share_traffic(drift, at)
        walks = [
            [level + generator.gauss(0, step) for level in layer]
            for layer in walks
        ]
        truth = tuple(
            _mix_layer(shares, [kind[layer] for kind in kinds], walks[layer])
            for layer in range(layers)
        )
        yield Moment(at, truth, _add_noise(generator, truth))


def share_traffic(drift: Drift, at: float) -> tuple[float, float, float]:
    """Split the traffic between three kinds of requests.

    :param drift: what changes.
    :param at: seconds since the run began.
    :returns: shares of the everyday kind, the growing kind (beneficiary
        letters, special meals) and the bank's kind (loading plans).
    """
    match drift:
        case PensionSeason(starts, lasts):
            grown = START_SHARE + LETTER_GROWTH * _ramp(at, starts, lasts)
            return 1 - grown, grown, 0
        case DepartureBanks():
            grown = START_SHARE + FASTING_GROWTH * _ramp(
                at, drift.fasting_starts, drift.fasting_lasts
            )
            bank = BANK_SHARE * _find_bank(drift, at)
            return (1 - grown) * (1 - bank), grown * (1 - bank), bank


def _find_bank(drift: DepartureBanks, at: float) -> float:
    phase = at % drift.period
    begins = drift.period / 2
    rising = _ramp(phase, begins, drift.ramp)
    falling = _ramp(phase, begins + drift.lasts, drift.ramp)
    return rising - falling


def _ramp(at: float, starts: float, lasts: float) -> float:
    return min(1, max(0, (at - starts) / lasts))


def _draw_kind(
    generator: random.Random, layers: int, experts: int
) -> list[list[float]]:
    weights = [(rank + 1) ** -ZIPF_EXPONENT for rank in range(experts)]
    scale = LAYER_TOKENS / sum(weights)
    return [
        [weight * scale for weight in generator.sample(weights, experts)]
        for _ in range(layers)
    ]


def _mix_layer(
    shares: Sequence[float],
    kinds: Sequence[Sequence[float]],
    walk: Sequence[float],
) -> tuple[float, ...]:
    return tuple(
        math.exp(level) * sum(map(mul, shares, figures))
        for level, figures in zip(walk, zip(*kinds, strict=True), strict=True)
    )


def _add_noise(generator: random.Random, truth: Tokens) -> Tokens:
    return tuple(
        tuple(figure * math.exp(generator.gauss(0, NOISE)) for figure in layer)
        for layer in truth
    )
