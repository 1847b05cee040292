"""Log events about restores of the store from an older copy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StoreRestored:
    """The store came back from an older copy.

    :param generation: its new generation.
    :param version: version of the configuration that stays in force.
    :param backends: number of backends known before.
    :param age_ms: age of the last confirmed state.
    """

    generation: int
    version: int
    backends: int
    age_ms: int


@dataclass(frozen=True)
class StoreSettled:
    """Readings of a restored store confirm again that keys are valid.

    :param version: version of the configuration in force.
    """

    version: int


@dataclass(frozen=True)
class GenerationUnreadable:
    """The store's responses name no readable generation.

    Restores of the store cannot be noticed. Logged once.

    :param reason: what is missing or invalid.
    """

    reason: str


RestoreDecision = StoreRestored | StoreSettled | GenerationUnreadable
