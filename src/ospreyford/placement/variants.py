"""The placement policies and their estimates, as data."""

from __future__ import annotations

from dataclasses import dataclass

from ospreyford.placement.estimate import (
    Estimator,
    LatestReport,
    MovingAverage,
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
    fill: int | None = None


@dataclass(frozen=True)
class Latest:
    """Estimate: the last report."""


@dataclass(frozen=True)
class Averaged:
    """Estimate: moving average; it halves in ``half_life`` seconds."""

    half_life: float = 600


@dataclass(frozen=True)
class Recurring:
    """Estimate: recurring regimes, see :class:`RecurringRegimes`."""

    most: int = 2
    half_life: float = 14_400
    inertia: float = 1800
    smoothing: float = 120
    focus: float = 0.2


Estimate = Latest | Averaged | Recurring


@dataclass(frozen=True)
class WeighedMoves:
    """Moves what saves more than it costs, by the deployment's weights."""

    estimate: Estimate = Recurring()
    replicas: bool = True


Variant = Static | BalanceAlways | WeighedMoves


def choose_variant(settings: PlacementSettings) -> WeighedMoves:
    """Choose the policy of a deployment.

    :param settings: its settings.
    :returns: the policy, with the estimate that fits its demand.
    """
    if settings.recurring:
        return WeighedMoves(Recurring())
    return WeighedMoves(Averaged(settings.averaging_seconds))


def make_estimator(variant: Variant) -> Estimator:
    """Start a policy's estimate.

    :param variant: which policy.
    :returns: an estimator without reports.
    """
    match variant:
        case WeighedMoves(Averaged(half_life)):
            return MovingAverage(half_life)
        case WeighedMoves(Recurring() as recurring):
            return RecurringRegimes(
                most=recurring.most,
                half_life=recurring.half_life,
                inertia=recurring.inertia,
                smoothing=recurring.smoothing,
                focus=recurring.focus,
            )
        case _:
            return LatestReport()
