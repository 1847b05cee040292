"""Reasons why the placement policy keeps the current map."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ReportFault(StrEnum):
    """What is wrong with a load report."""

    wrong_shape = 'wrong shape'
    not_finite = 'not a finite number'
    negative = 'negative'
    wrong_clock = 'received in the future'


@dataclass(frozen=True)
class ReportMissing:
    """No load report was received."""


@dataclass(frozen=True)
class ReportBad:
    """The report is invalid."""

    fault: ReportFault


@dataclass(frozen=True)
class ReportPartial:
    """The report covers only ``reporting`` of ``ranks`` ranks."""

    reporting: int
    ranks: int


@dataclass(frozen=True)
class ReportOld:
    """The report's ``age_seconds`` exceeds ``limit_seconds``."""

    age_seconds: float
    limit_seconds: float


@dataclass(frozen=True)
class ReportRepeated:
    """The report is no newer than the last one used."""


@dataclass(frozen=True)
class TrafficLow:
    """A layer processed ``tokens`` tokens, fewer than ``needed``."""

    tokens: float
    needed: float


@dataclass(frozen=True)
class MapInvalid:
    """The current map does not fit the group or its memory."""


@dataclass(frozen=True)
class WarmingUp:
    """The policy has ``reports`` of the ``needed`` reports."""

    reports: int
    needed: int


@dataclass(frozen=True)
class TooSoon:
    """The planning interval ends in ``wait_seconds``."""

    wait_seconds: float


@dataclass(frozen=True)
class PlacementStatic:
    """The policy in force never moves experts."""


@dataclass(frozen=True)
class NotWorthwhile:
    """No change saves more than it costs, hysteresis included."""


@dataclass(frozen=True)
class BudgetSpent:
    """The weight-store budget does not cover the copies yet."""

    available_bytes: float


Reason = (
    ReportMissing
    | ReportBad
    | ReportPartial
    | ReportOld
    | ReportRepeated
    | TrafficLow
    | MapInvalid
    | WarmingUp
    | TooSoon
    | PlacementStatic
    | NotWorthwhile
    | BudgetSpent
)
