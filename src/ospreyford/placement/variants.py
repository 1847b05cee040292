"""The placement policies and their estimates, as data."""

from __future__ import annotations

from dataclasses import dataclass

from ospreyford.placement.estimate import (
    Estimator,
    LastReportEstimator,
    MovingAverageEstimator,
)
from ospreyford.placement.regimes import RecurringRegimes
from ospreyford.placement.settings import PlacementSettings


@dataclass(frozen=True)
class Static:
    """Never moves an expert."""


@dataclass(frozen=True)
class BalanceAlways:
    """Places all experts anew at each report, by the report alone.

    ``fill`` is how many experts of a layer it puts on a rank; one slot of
    each rank's memory stays free where it is not given.
    """

    replicas: bool = True
    experts_per_rank: int | None = None


@dataclass(frozen=True)
class LastReport:
    """Estimate: the last report."""


@dataclass(frozen=True)
class Averaged:
    """Estimate: moving average; it halves in ``half_life`` seconds."""

    half_life_seconds: float = 600


@dataclass(frozen=True)
class Recurring:
    """Estimate: recurring regimes, see :class:`RecurringRegimes`."""

    max_regimes: int = 2
    half_life_seconds: float = 14_400
    max_merge_seconds: float = 1800
    smoothing_half_life_seconds: float = 120
    current_regime_weight: float = 0.2


Estimate = LastReport | Averaged | Recurring


@dataclass(frozen=True)
class CostAware:
    """Moves what saves more than it costs, by the deployment's weights."""

    estimate: Estimate = Recurring()
    replicas: bool = True


Variant = Static | BalanceAlways | CostAware


def select_variant(settings: PlacementSettings) -> CostAware:
    """Choose the policy of a deployment.

    :param settings: its settings.
    :returns: the policy, with the estimate that fits its demand.
    """
    if settings.recurring:
        return CostAware(Recurring())
    return CostAware(Averaged(settings.averaging_seconds))


def make_estimator(variant: Variant) -> Estimator:
    """Start a policy's estimate.

    :param variant: which policy.
    :returns: an estimator without reports.
    """
    match variant:
        case CostAware(Averaged(half_life)):
            return MovingAverageEstimator(half_life)
        case CostAware(Recurring() as recurring):
            return RecurringRegimes(
                max_regimes=recurring.max_regimes,
                half_life_seconds=recurring.half_life_seconds,
                max_merge_seconds=recurring.max_merge_seconds,
                smoothing_half_life_seconds=recurring.smoothing_half_life_seconds,
                current_regime_weight=recurring.current_regime_weight,
            )
        case _:
            return LastReportEstimator()
