"""Coordinators of all groups, as they report to an entry."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, Final, NamedTuple

from ospreyford.rebalance.statuspublisher import compute_status_interval

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from ospreyford.rebalance.entrymessages import Address
    from ospreyford.rebalance.groupkey import GroupKey

#: Silence of a coordinator after which hellos go to all agents of its group:
#: any of them may be elected, after 0.45 s at the earliest, and must know the
#: entries.
COORDINATOR_TIMEOUT_SECONDS: Final = 0.3
#: The same beyond that time, in intervals between reports of many groups.
STATUS_INTERVALS: Final = 1.5
#: Interval between hellos.
HELLO_INTERVAL_SECONDS: Final = 0.5
#: Upper bound of that interval; agents forget an entry after three seconds.
MAX_HELLO_INTERVAL_SECONDS: Final = 1.0
#: Rate limit of an entry's hellos to coordinators.
MAX_COORDINATOR_HELLOS_PER_SECOND: Final = 40
#: A group is heard while the last report on it isn't older.
HEARD_SECONDS: Final = 3.0


class _Coordinator(NamedTuple):
    """The agent that last reported on a group.

    :param address: the agent's address.
    :param token: its fencing token.
    :param reported_at: time of the report, in seconds on the monotonic clock.
    """

    address: Address
    token: int
    reported_at: float


class KnownCoordinators:
    """Coordinator of each group, by its last report."""

    def __init__(self) -> None:
        self._known: dict[GroupKey, _Coordinator] = {}

    def record(self, key: GroupKey, address: Address, token: int) -> bool:
        """Record a report.

        :param key: key of the group.
        :param address: the agent's address.
        :param token: its fencing token.
        :returns: whether it counts; a coordinator with a lower token has been
            replaced.
        """
        known = self._known.get(key)
        if known is not None and token < known.token:
            return False
        self._known[key] = _Coordinator(address, token, time.monotonic())
        return True

    def find(self, key: GroupKey) -> Address | None:
        """Find the coordinator of a group.

        :param key: key of the group.
        :returns: its address; ``None`` before the first report.
        """
        known = self._known.get(key)
        return None if known is None else known.address

    def compute_silence(self, key: GroupKey) -> float:
        """Compute the time since the last report on a group.

        :param key: key of the group.
        :returns: seconds; infinite before the first report.
        """
        known = self._known.get(key)
        return (
            math.inf if known is None else time.monotonic() - known.reported_at
        )

    def list_silent(self, keys: Iterable[GroupKey]) -> list[GroupKey]:
        """List the groups of which all agents must hear of this entry.

        Coordinators of many groups report less often, as hellos are rarer then.

        :param keys: keys of groups.
        :returns: those whose coordinators have been silent for too long.
        """
        interval = compute_status_interval(self.count_heard())
        timeout = COORDINATOR_TIMEOUT_SECONDS + STATUS_INTERVALS * interval
        return [key for key in keys if self.compute_silence(key) > timeout]

    def count_heard(self) -> int:
        """Count the groups whose coordinators report.

        :returns: number of groups; at least 1.
        """
        heard = sum(
            self.compute_silence(key) <= HEARD_SECONDS for key in self._known
        )
        return max(heard, 1)

    def compute_hello_interval(self) -> float:
        """Compute the interval between hellos.

        :returns: seconds.
        """
        return min(
            max(
                self.count_heard() / MAX_COORDINATOR_HELLOS_PER_SECOND,
                HELLO_INTERVAL_SECONDS,
            ),
            MAX_HELLO_INTERVAL_SECONDS,
        )

    def forget_others(self, keys: Container[GroupKey]) -> None:
        """Forget groups that have no members any more.

        :param keys: keys of the groups that have.
        """
        self._known = {
            key: known for key, known in self._known.items() if key in keys
        }
