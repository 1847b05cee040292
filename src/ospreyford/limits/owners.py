"""Which entry leases out a customer's limit."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple, Protocol

from xxhash import xxh3_64_intdigest

from ospreyford.limits.settings import ShareSettings


class EntryView(NamedTuple):
    """The entries as this process sees them.

    :param live: peer address of each live entry by name, this one included.
    :param known: entries in the host list, reachable or not.
    """

    live: Mapping[str, str]
    known: int


class EntryMembers(Protocol):
    """Source of the view; the membership is its adapter."""

    def view(self) -> EntryView:
        """Tell the present view.

        :returns: the view; the same object while nothing changes.
        """


class _PastView(NamedTuple):
    view: EntryView
    replaced_at: float


class OwnerDirectory:
    """Follows the views and tells who the home of a customer is.

    :param me: name of this entry.
    :param members: source of the view.
    :param settings: how long a past view and an unnoticed pause may last.
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
        """Entries in the host list; at least the live ones."""
        return max(1, self._view.known, len(self._view.live))

    def update(self, now: float) -> None:
        """Take in the present view.

        :param now: seconds on the monotonic clock.
        """
        if now - self._updated_at >= self._pause_seconds:
            # Paused, and the others may have taken a new home meanwhile,
            # whose leases this entry knows nothing of: start afresh. That
            # home leases once the settling time is over, and until it sees
            # this entry back, which takes the time in which views converge:
            # after a pause only a little shorter than the settling time
            # both would lease out the whole limit.
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
        """Find the home of a customer in the present view.

        :param customer: name of the customer.
        :returns: name of the entry.
        """
        owner = self._owners.get(customer)
        if owner is None:
            owner = _select_owner(customer, self._view, self._name)
            self._owners[customer] = owner
        return owner

    def get_address(self, name: str) -> str | None:
        """Look up the address of an entry.

        :param name: name of the entry.
        :returns: its peer address, if it is live.
        """
        return self._view.live.get(name)

    def compute_grantable_fraction(self, customer: str, now: float) -> float:
        """Tell what part of a customer's leases this entry may grant.

        Nothing until every lease of an earlier home, or of this entry's
        own earlier life, is over: granted twice, the customer would get up
        to twice its limit after each change of home. And only the part of
        the entries that this one has seen without a break: in a partition
        each side has its own home, and their parts sum to one.

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
