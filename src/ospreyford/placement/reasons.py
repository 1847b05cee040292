"""Why a placement policy changes nothing."""

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
    """There is no load report."""


@dataclass(frozen=True)
class ReportBad:
    """The report cannot be true."""

    fault: ReportFault


@dataclass(frozen=True)
class ReportPartial:
    """Only ``reporting`` of ``ranks`` ranks are in the report."""

    reporting: int
    ranks: int


@dataclass(frozen=True)
class ReportOld:
    """The report is ``age_seconds`` old; ``limit_seconds`` is the most."""

    age_seconds: float
    limit_seconds: float


@dataclass(frozen=True)
class ReportRepeated:
    """The report is no newer than the last one that was used."""


@dataclass(frozen=True)
class TrafficLow:
    """A layer had ``tokens`` tokens; ``needed`` are needed to judge it."""

    tokens: float
    needed: float


@dataclass(frozen=True)
class MapInvalid:
    """The current map does not fit the group or its memory."""


@dataclass(frozen=True)
class WarmingUp:
    """The policy has seen ``reports`` reports and needs ``needed``."""

    reports: int
    needed: int


@dataclass(frozen=True)
class TooSoon:
    """The last judgement is too recent; ``wait_seconds`` remain."""

    wait_seconds: float


@dataclass(frozen=True)
class PlacementStatic:
    """The policy in force never moves anything."""


@dataclass(frozen=True)
class NotWorthwhile:
    """No change saves more than it costs, hysteresis included."""


@dataclass(frozen=True)
class BudgetSpent:
    """The weight-store budget does not cover one expert yet."""

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
