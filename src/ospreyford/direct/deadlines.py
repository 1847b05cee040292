"""Which callers were turned away before, by the time that they have left."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

#: A caller with less than this part of the longest time that callers have on
#: its route has spent the rest: on a host that was gone, or on a refusal. Whole
#: times differ by a sixth from caller to caller.
REPEAT_PART = 0.85
#: What is left of the longest time seen with each request: of several hundred
#: requests without it, it is forgotten.
MEMORY_PART = 0.998
#: Requests of one customer on one route after which its own longest time counts
#: and not that of all customers: one whose callers always have little time
#: would else be taken for one that asks again and again.
OWN_REQUESTS = 8
#: Pairs of customer and route that are remembered; the longest unused goes.
KEPT = 4096


@dataclass
class _Longest:
    seconds: float = 0
    seen: int = 0

    def note(self, seconds: float) -> None:
        self.seconds = max(seconds, self.seconds * MEMORY_PART)
        self.seen += 1


class DeadlineMemory:
    """Tells second tries of callers from first ones.

    Load pattern: more streams than a group takes, for as long as it lasts.
    Refused callers come back, to any entry. They look like new ones, and are
    late already. What a caller has left of its usual time tells them apart,
    also at an entry that has never seen them.
    """

    def __init__(self) -> None:
        self._longest: OrderedDict[tuple[str, str], _Longest] = OrderedDict()

    def take(self, route: str, customer: str, seconds: float) -> bool:
        """Take a request, and tell whether it is a second try.

        :param route: the route's name.
        :param customer: the customer's name, or nothing.
        :param seconds: time that its caller gives it.
        :returns: whether its caller has spent a good part of its time before.
        """
        of_all = self._find(route, '')
        of_one = self._find(route, customer)
        is_own = of_one.seen >= OWN_REQUESTS
        known = of_one.seconds if is_own else of_all.seconds
        of_all.note(seconds)
        if of_one is not of_all:
            of_one.note(seconds)
        return seconds < REPEAT_PART * known

    def count(self) -> int:
        """Count the pairs of route and customer that are remembered.

        :returns: their number.
        """
        return len(self._longest)

    def _find(self, route: str, customer: str) -> _Longest:
        key = (route, customer)
        found = self._longest.setdefault(key, _Longest())
        self._longest.move_to_end(key)
        if len(self._longest) > KEPT:
            self._longest.popitem(last=False)
        return found
