"""Rumour mongering and the byte budget of pushes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.distribution.settings import DistributionSettings
    from ospreyford.ports.clock import Clock


@dataclass
class Rumour:
    """Remaining offers of a changed document."""

    remaining_interest: int
    remaining_offers: int


class Rumours:
    """Rumour mongering with feedback and a counter.

    A rumour is dropped after a few peers knew it already or after a fixed
    number of offers, so that its cost per process is independent of the fleet
    size. Anti-entropy repairs the peers that it misses.

    :param settings: the limits.
    """

    def __init__(self, settings: DistributionSettings) -> None:
        self._settings = settings
        self._rumours: dict[str, Rumour] = {}

    def add(self, name: str) -> None:
        """Start offering a document, or restart at a new revision.

        :param name: the document's name.
        """
        settings = self._settings
        self._rumours[name] = Rumour(
            settings.rumour_interest, settings.rumour_offers
        )

    def select_names(self) -> list[str]:
        """Select the rumours of one offer, oldest first.

        :returns: document names; empty without rumours.
        """
        return list(self._rumours)[: self._settings.rumour_heads]

    def record_offer(self, names: list[str]) -> None:
        """Record an offer, whether a reply arrives or not.

        :param names: the documents offered.
        """
        for name in names:
            rumour = self._rumours.get(name)
            if rumour is not None:
                rumour.remaining_offers -= 1
                self._drop_exhausted(name, rumour)

    def record_known(self, names: list[str]) -> None:
        """Record a peer that knew rumours already.

        :param names: the documents it knew.
        """
        for name in names:
            rumour = self._rumours.get(name)
            if rumour is not None:
                rumour.remaining_interest -= 1
                self._drop_exhausted(name, rumour)

    def _drop_exhausted(self, name: str, rumour: Rumour) -> None:
        if rumour.remaining_interest <= 0 or rumour.remaining_offers <= 0:
            self._rumours.pop(name, None)


class ByteBudget:
    """Token bucket for the bytes of pushed texts.

    :param settings: rate and burst.
    :param clock: the process's clock.
    """

    def __init__(self, settings: DistributionSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._available_bytes = float(settings.push_burst_bytes)
        self._refilled_at = clock.monotonic()

    def has_budget(self) -> bool:
        """Refill the bucket and tell whether a push is allowed.

        :returns: ``False`` while earlier pushes exceed the budget.
        """
        now = self._clock.monotonic()
        refilled = (
            now - self._refilled_at
        ) * self._settings.push_bytes_per_second
        self._available_bytes = min(
            self._available_bytes + refilled,
            float(self._settings.push_burst_bytes),
        )
        self._refilled_at = now
        return self._available_bytes > 0

    def consume(self, size: int) -> None:
        """Consume the bytes of a push.

        :param size: bytes; the balance may become negative.
        """
        self._available_bytes -= size
