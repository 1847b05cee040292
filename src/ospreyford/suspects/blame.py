"""Which suspects explain the crashes that are known.

Load pattern: several requests are under way on each backend that crashes, and
all of them, and all parts of their prompts, are suspected. The request or part
at fault was there at every crash; what merely ran beside it was there at some.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.suspects.bursts import WINDOW_SECONDS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.suspects.suspect import Suspect


class Candidate(NamedTuple):
    """A suspect and its crashes that nothing else explains.

    :param suspect: the suspect.
    :param strike_ids: ids of these crashes.
    """

    suspect: Suspect
    strike_ids: frozenset[int]

    def count_crashes(self) -> int:
        """Count the crashes.

        :returns: their number.
        """
        return count_crashes(self.suspect, self.strike_ids)

    def is_at_limit(self) -> bool:
        """Check whether the crashes are enough for a block.

        :returns: whether they are.
        """
        return self.count_crashes() >= self.suspect.limit

    def remove(self, strike_ids: frozenset[int]) -> Candidate:
        """Remove crashes that something else explains.

        :param strike_ids: their ids.
        :returns: the candidate with those that are left.
        """
        return self._replace(strike_ids=self.strike_ids - strike_ids)


def find_blamed(suspects: Iterable[Suspect]) -> dict[bytes, frozenset[bytes]]:
    """Find the suspects that are blamed for crashes.

    Those with the most crashes are blamed first, and explain them. Others are
    blamed only for enough crashes beside these.

    :param suspects: all suspects.
    :returns: identities of those that are blamed, each with all that were at
        the same crashes, itself among them.
    """
    blamed: dict[bytes, frozenset[bytes]] = {}
    candidates = _drop_few(
        Candidate(one, frozenset(one.list_active_ids())) for one in suspects
    )
    while candidates:
        top = _find_top(candidates)
        for equal in top.values():
            blamed.update(dict.fromkeys(equal, frozenset(equal)))
        explained: frozenset[int] = frozenset().union(*top)
        candidates = _drop_few(
            other.remove(explained)
            for other in candidates
            if other.suspect.identity not in blamed
        )
    return blamed


def count_crashes(suspect: Suspect, strike_ids: Iterable[int]) -> int:
    """Count crashes of a suspect.

    A part that many requests share is on many backends that are lost at one
    moment: for a part, these count as one crash.

    :param suspect: the suspect.
    :param strike_ids: ids of the crashes.
    :returns: their number.
    """
    times = sorted(suspect.strikes[one].changed_at for one in strike_ids)
    if not suspect.is_part:
        return len(times)
    count = 0
    until = -math.inf
    for at in times:
        if at > until:
            count += 1
            until = at + WINDOW_SECONDS
    return count


def _drop_few(candidates: Iterable[Candidate]) -> list[Candidate]:
    return [one for one in candidates if one.is_at_limit()]


def _find_top(
    candidates: Sequence[Candidate],
) -> dict[frozenset[int], list[bytes]]:
    """Find the candidates with the most crashes.

    :returns: their identities, by the crashes at which they were.
    """
    most = max(one.count_crashes() for one in candidates)
    top: dict[frozenset[int], list[bytes]] = {}
    for candidate in candidates:
        if candidate.count_crashes() == most:
            same = top.setdefault(candidate.strike_ids, [])
            same.append(candidate.suspect.identity)
    return top
