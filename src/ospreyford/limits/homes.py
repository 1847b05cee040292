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


class _Past(NamedTuple):
    view: EntryView
    replaced_at: float


class Homes:
    """Follows the views and tells who the home of a customer is.

    :param me: name of this entry.
    :param members: source of the view.
    :param settings: how long a past view and an unnoticed pause may last.
    :param now: seconds on the monotonic clock.
    """

    def __init__(
        self,
        me: str,
        members: EntryMembers,
        settings: ShareSettings,
        now: float,
    ) -> None:
        self._me = me
        self._members = members
        self._settle_seconds = (
            settings.lease_seconds + settings.convergence_seconds
        )
        self._pause_seconds = settings.lease_seconds
        self._started_at = now
        self._followed_at = now
        self._view = members.view()
        self._past: deque[_Past] = deque()
        self._cache: dict[str, str] = {}

    @property
    def known(self) -> int:
        """Entries in the host list; at least the live ones."""
        return max(1, self._view.known, len(self._view.live))

    def follow(self, now: float) -> None:
        """Take in the present view.

        :param now: seconds on the monotonic clock.
        """
        if now - self._followed_at >= self._pause_seconds:
            # Paused, and the others may have taken a new home meanwhile,
            # whose leases this entry knows nothing of: start afresh. That
            # home leases once the settling time is over, and until it sees
            # this entry back, which takes the time in which views converge:
            # after a pause only a little shorter than the settling time
            # both would lease out the whole limit.
            self._started_at = now
        self._followed_at = now
        while self._past and self._past[0].replaced_at <= (
            now - self._settle_seconds
        ):
            self._past.popleft()
        view = self._members.view()
        if view != self._view:
            self._past.append(_Past(self._view, now))
            self._view = view
            self._cache = {}

    def find(self, customer: str) -> str:
        """Find the home of a customer in the present view.

        :param customer: name of the customer.
        :returns: name of the entry.
        """
        home = self._cache.get(customer)
        if home is None:
            home = _rank(customer, self._view, self._me)
            self._cache[customer] = home
        return home

    def address(self, name: str) -> str | None:
        """Look up the address of an entry.

        :param name: name of the entry.
        :returns: its peer address, if it is live.
        """
        return self._view.live.get(name)

    def lendable(self, customer: str, now: float) -> float:
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
        if now < settled_at or self.find(customer) != self._me:
            return 0
        live = len(self._view.live)
        for past in self._past:
            if _rank(customer, past.view, self._me) != self._me:
                return 0
            live = min(live, len(past.view.live))
        return min(1, live / self.known)


def _rank(customer: str, view: EntryView, me: str) -> str:
    key = customer.encode()
    return max(
        view.live,
        key=lambda name: xxh3_64_intdigest(
            key, xxh3_64_intdigest(name.encode())
        ),
        default=me,
    )
