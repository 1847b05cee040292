"""Ownership of customer limits: which entry grants their leases."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple, Protocol

from xxhash import xxh3_64_intdigest

from ospreyford.limits.settings import ShareSettings


class EntryView(NamedTuple):
    """View of the entries from this process.

    :param live: peer addresses of the live entries by name, this one included.
    :param known: number of entries in the host list, reachable or not.
    """

    live: Mapping[str, str]
    known: int


class EntryMembers(Protocol):
    """Source of the view, implemented by the membership."""

    def view(self) -> EntryView:
        """Get the current view.

        :returns: the view; the same object while nothing changes.
        """


class _PastView(NamedTuple):
    view: EntryView
    replaced_at: float


class OwnerDirectory:
    """Tracks membership views and maps customers to owner entries.

    :param name: name of this entry.
    :param members: source of the view.
    :param settings: durations of leases and of view convergence.
    :param now: seconds on the monotonic clock.
    """

    def __init__(
        self,
        name: str,
        members: EntryMembers,
        settings: ShareSettings,
        now: float,
    ) -> None:
        self._name = name
        self._members = members
        self._settle_seconds = (
            settings.lease_seconds + settings.convergence_seconds
        )
        self._pause_seconds = settings.lease_seconds
        self._started_at = now
        self._updated_at = now
        self._view = members.view()
        self._past_views: deque[_PastView] = deque()
        self._owners: dict[str, str] = {}

    @property
    def known_entries(self) -> int:
        """Number of entries in the host list, at least the live ones."""
        return max(1, self._view.known, len(self._view.live))

    def update(self, now: float) -> None:
        """Update to the current view.

        :param now: seconds on the monotonic clock.
        """
        if now - self._updated_at >= self._pause_seconds:
            # After a pause, another owner may have granted leases: settle
            # again, so that both never grant the same limit.
            self._started_at = now
        self._updated_at = now
        while self._past_views and self._past_views[0].replaced_at <= (
            now - self._settle_seconds
        ):
            self._past_views.popleft()
        view = self._members.view()
        if view != self._view:
            self._past_views.append(_PastView(self._view, now))
            self._view = view
            self._owners = {}

    def find_owner(self, customer: str) -> str:
        """Find the owner of a customer's limit in the current view.

        :param customer: name of the customer.
        :returns: name of the entry.
        """
        owner = self._owners.get(customer)
        if owner is None:
            owner = _select_owner(customer, self._view, self._name)
            self._owners[customer] = owner
        return owner

    def get_address(self, name: str) -> str | None:
        """Get the address of an entry.

        :param name: name of the entry.
        :returns: its peer address, if it is live.
        """
        return self._view.live.get(name)

    def compute_grantable_fraction(self, customer: str, now: float) -> float:
        """Compute the fraction of a limit that this entry may grant.

        It is 0 until all leases of earlier owners and incarnations have
        expired. In a partition, each side's owner grants in proportion to the
        live entries it sees.

        :param customer: name of the customer.
        :param now: seconds on the monotonic clock.
        :returns: fraction, 0 to 1.
        """
        settled_at = self._started_at + self._settle_seconds
        if now < settled_at or self.find_owner(customer) != self._name:
            return 0
        live = len(self._view.live)
        for past in self._past_views:
            if _select_owner(customer, past.view, self._name) != self._name:
                return 0
            live = min(live, len(past.view.live))
        return min(1, live / self.known_entries)


def _select_owner(customer: str, view: EntryView, default: str) -> str:
    key = customer.encode()
    return max(
        view.live,
        key=lambda name: xxh3_64_intdigest(
            key, xxh3_64_intdigest(name.encode())
        ),
        default=default,
    )
