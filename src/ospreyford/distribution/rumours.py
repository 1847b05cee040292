"""Which changes this process still offers to its peers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.distribution.settings import DistributionSettings
    from ospreyford.ports.clock import Clock


@dataclass
class Rumour:
    """How far one changed document has been offered."""

    remaining_interest: int
    remaining_offers: int


class Rumours:
    """Rumour mongering with feedback.

    A rumour is dropped after a few peers knew it already or after a fixed
    number of offers, so that its cost per process does not grow with the
    fleet. The few peers that it misses find the change by comparing digests.

    :param settings: the limits.
    """

    def __init__(self, settings: DistributionSettings) -> None:
        self._settings = settings
        self._rumours: dict[str, Rumour] = {}

    def add(self, name: str) -> None:
        """Start to offer a document, or start again at a new revision.

        :param name: the document's name.
        """
        settings = self._settings
        self._rumours[name] = Rumour(
            settings.rumour_interest, settings.rumour_offers
        )

    def select_names(self) -> list[str]:
        """Choose what to offer in one message, the oldest rumours first.

        :returns: names; empty when there is nothing to tell.
        """
        return list(self._rumours)[: self._settings.rumour_heads]

    def record_offer(self, names: list[str]) -> None:
        """Count an offer, whether it will be answered or not.

        :param names: what was offered.
        """
        for name in names:
            rumour = self._rumours.get(name)
            if rumour is not None:
                rumour.remaining_offers -= 1
                self._drop_exhausted(name, rumour)

    def record_known(self, names: list[str]) -> None:
        """Count a peer that knew rumours already.

        :param names: what it knew.
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
    """Bounds the mean rate of pushed texts.

    :param settings: rate and burst.
    :param clock: the process's clock.
    """

    def __init__(self, settings: DistributionSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._available_bytes = float(settings.push_burst_bytes)
        self._refilled_at = clock.monotonic()

    def has_budget(self) -> bool:
        """Tell whether anything may be pushed now.

        :returns: ``False`` while earlier pushes are not yet paid for.
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
        """Count a push.

        :param size: its bytes; the level may go below zero.
        """
        self._available_bytes -= size
