"""Configurations of placement policies and their estimators."""

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
    """Places all experts anew at each report, by the last report alone.

    ``experts_per_rank`` defaults to one less than the slots of a rank.
    """

    replicas: bool = True
    experts_per_rank: int | None = None


@dataclass(frozen=True)
class LastReport:
    """Estimate by the last report."""


@dataclass(frozen=True)
class Averaged:
    """Estimate by an exponential moving average."""

    half_life_seconds: float = 600


@dataclass(frozen=True)
class Recurring:
    """Estimate by recurring regimes, see :class:`RecurringRegimes`."""

    max_regimes: int = 2
    half_life_seconds: float = 14_400
    max_merge_seconds: float = 1800
    smoothing_half_life_seconds: float = 120
    current_regime_weight: float = 0.2


Estimate = LastReport | Averaged | Recurring


@dataclass(frozen=True)
class CostAware:
    """Makes only changes whose weighted saving exceeds their weighted cost."""

    estimate: Estimate = Recurring()
    replicas: bool = True


Variant = Static | BalanceAlways | CostAware


def select_variant(settings: PlacementSettings) -> CostAware:
    """Select the policy of a deployment.

    :param settings: the deployment's settings.
    :returns: the policy, with the estimator that suits the demand.
    """
    if settings.recurring:
        return CostAware(Recurring())
    return CostAware(Averaged(settings.averaging_seconds))


def make_estimator(variant: Variant) -> Estimator:
    """Create the estimator of a policy.

    :param variant: the policy variant.
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
