"""Turns and places of requests of more and less urgent kinds.

The urgency of a request is the priority of its route. Priorities of customers
decide among equally late requests of one urgency.

Load pattern: a burst of patient requests fills the groups of a service, then
urgent ones come, together two to three times what there is room for. In plain
order of lateness the patient ones, which are in time for longer, would go
first. So urgent requests go first, and the places above the regular limit are
theirs alone; a less urgent request that was passed over several times gets its
turn, so that no kind is starved.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ospreyford.direct.admission import StreamLimit

#: Admissions of more urgent requests in a row after which a waiting request of
#: a lower urgency goes next: a kind that waits gets a fifth of the places.
MAX_PASSED_OVER: Final = 4
#: Time for which places are kept for a urgency after its last request.
NEED_MEMORY_SECONDS: Final = 10.0


class RecentUrgencies:
    """Priorities of recent requests."""

    def __init__(self) -> None:
        self._seen_at: dict[int, float] = {}

    def record(self, urgency: int, now: float) -> None:
        """Record a request.

        :param urgency: its urgency.
        :param now: seconds on the monotonic clock.
        """
        self._seen_at[urgency] = now

    def has_more_urgent(self, urgency: int, now: float) -> bool:
        """Check whether more urgent requests came recently.

        :param urgency: of a request.
        :param now: seconds on the monotonic clock.
        :returns: whether there were any.
        """
        if len(self._seen_at) < 2:
            return False
        return any(
            one < urgency and now - seen_at < NEED_MEMORY_SECONDS
            for one, seen_at in self._seen_at.items()
        )


class UrgencyTurns:
    """Whose turn it is among the urgencies that wait."""

    def __init__(self) -> None:
        self._passed_over: dict[int, int] = {}

    def select(self, waiting: Collection[int]) -> int:
        """Select the urgency that goes next.

        :param waiting: urgencies of the waiting requests; 0 is the most
            urgent.
        :returns: the most urgent one, unless another was passed over too often.
        """
        due = [one for one in waiting if self._count(one) >= MAX_PASSED_OVER]
        return max(due, key=self._count) if due else min(waiting)

    def record_admission(self, urgency: int, waiting: Collection[int]) -> None:
        """Record that a request was admitted.

        :param urgency: its urgency.
        :param waiting: urgencies of the requests that still wait.
        """
        self._passed_over = {
            one: self._count(one) + (one > urgency)
            for one in waiting
            if one != urgency
        }

    def _count(self, urgency: int) -> int:
        return self._passed_over.get(urgency, 0)


def count_less_urgent(counts: Mapping[int, int], urgency: int) -> int:
    """Count the requests that are less urgent than one.

    :param counts: number of requests by urgency.
    :param urgency: of the request.
    :returns: the number.
    """
    return sum(count for one, count in counts.items() if one > urgency)


class Rivals(NamedTuple):
    """Requests of other urgencies that compete with one.

    :param less_urgent: number of less urgent ones that run in the group or
        wait.
    :param are_waiting: whether some of them wait.
    :param has_more_urgent: whether more urgent ones came recently.
    :param is_due: whether the request goes before more urgent ones that wait.
    """

    less_urgent: int = 0
    are_waiting: bool = False
    has_more_urgent: bool = False
    is_due: bool = False


NO_RIVALS: Final = Rivals()


def adjust_limit(
    limit: StreamLimit, base: float, rivals: Rivals, *, is_late: bool
) -> float:
    """Adjust the limit of a request to requests of other urgencies.

    A late request would leave its place to a less urgent one that is still in
    time.

    :param limit: the limits of the group.
    :param base: limit that applies without regard to urgencies.
    :param rivals: requests of other urgencies.
    :param is_late: whether the request will miss its objective.
    :returns: number of running streams below which it is admitted.
    """
    if rivals.is_due:
        # More urgent streams may hold more than the regular limit for long.
        return max(base, limit.urgent)
    adjusted = min(base, limit.regular) if rivals.has_more_urgent else base
    if not rivals.less_urgent:
        return adjusted
    if is_late and rivals.are_waiting:
        # They would take any place up to the regular limit.
        return max(adjusted, limit.regular)
    if is_late:
        return max(
            adjusted, min(limit.regular, limit.late + rivals.less_urgent)
        )
    most = limit.regular if rivals.has_more_urgent else limit.urgent
    return max(adjusted, min(most, limit.regular + rivals.less_urgent))
