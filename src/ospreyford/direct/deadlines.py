"""Which callers were turned away before, by the time that they have left."""

from __future__ import annotations

from collections import OrderedDict, deque

#: Part of callers that give less than what counts as the usual time. Of those
#: who come under high load a third may come for the second time, so it must lie
#: well above that; the longest time would be one caller's whim.
USUAL_PART = 0.95
#: Requests of a route, or of a customer on it, that its usual time follows.
RECENT = 64
#: A caller with less than this part of the usual time has spent the rest: on a
#: host that was gone, or on a refusal. Whole times differ by a sixth.
REPEAT_PART = 0.85
#: Requests of one customer on one route after which its own usual time counts
#: and not that of all customers: one whose callers always have little time
#: would else be taken for one that asks again and again.
OWN_REQUESTS = 4
#: Pairs of customer and route that are remembered; the longest unused goes.
KEPT = 1024


class _Given(deque[float]):
    """The times that the last callers gave, in seconds."""

    def __init__(self) -> None:
        super().__init__(maxlen=RECENT)

    def tell_usual(self) -> float:
        """Tell the time that few callers exceed; 0 before the first one."""
        return sorted(self)[int(USUAL_PART * len(self))] if self else 0


class DeadlineMemory:
    """Tells second tries of callers from first ones.

    Load pattern: more streams than a group takes, for as long as it lasts.
    Refused callers come back, to any entry. They look like new ones, and are
    late already. What a caller has left of its usual time tells them apart,
    also at an entry that has never seen them.
    """

    def __init__(self) -> None:
        self._given: OrderedDict[tuple[str, str], _Given] = OrderedDict()

    def take(self, route: str, customer: str, seconds: float) -> bool:
        """Take a request, and tell whether it is a second try.

        :param route: the route's name.
        :param customer: the customer's name, or nothing.
        :param seconds: time that its caller gives it.
        :returns: whether its caller has spent a good part of its time before.
        """
        of_all = self._find(route, '')
        of_one = self._find(route, customer)
        known = of_one if len(of_one) >= OWN_REQUESTS else of_all
        usual = known.tell_usual()
        of_all.append(seconds)
        if of_one is not of_all:
            of_one.append(seconds)
        return seconds < REPEAT_PART * usual

    def count(self) -> int:
        """Count the pairs of route and customer that are remembered.

        :returns: their number.
        """
        return len(self._given)

    def _find(self, route: str, customer: str) -> _Given:
        key = (route, customer)
        found = self._given.setdefault(key, _Given())
        self._given.move_to_end(key)
        if len(self._given) > KEPT:
            self._given.popitem(last=False)
        return found
