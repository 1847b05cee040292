"""A request or prompt part that is suspected of crashing backends."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ospreyford.suspects.messages import NO_TRIAL, ToldStrike, ToldSuspect

MS_PER_SECOND = 1000


class Strike(NamedTuple):
    """A crash while a request had just begun.

    :param is_cleared: whether the request was answered whole since.
    :param changed_at: time of the crash or of the clearance, in seconds on the
        monotonic clock.
    :param is_own: whether this process saw the crash.
    """

    is_cleared: bool
    changed_at: float
    is_own: bool = False


@dataclass
class Suspect:
    """A request or prompt part that is suspected of crashes.

    :param identity: its identity.
    :param customer: name of the request's customer.
    :param path: beginning of its path, or id of the part.
    :param limit: number of crashes at which it is blocked.
    :param strikes: crashes by id.
    :param is_part: whether it is a prompt part that requests share.
    :param trial_at: its latest trial at any process, in seconds on the
        monotonic clock.
    """

    identity: bytes
    customer: str
    path: str
    limit: int
    strikes: dict[int, Strike] = field(default_factory=dict)
    is_part: bool = False
    trial_at: float | None = None

    def list_active(self) -> list[Strike]:
        """List the crashes that are not cleared.

        :returns: the crashes, the latest one last.
        """
        active = (one for one in self.strikes.values() if not one.is_cleared)
        return sorted(active, key=_get_changed_at)

    def list_active_ids(self) -> list[int]:
        """List the ids of the crashes that are not cleared.

        :returns: the ids, in no order.
        """
        return [
            strike_id
            for strike_id, one in self.strikes.items()
            if not one.is_cleared
        ]

    def is_at_limit(self) -> bool:
        """Check whether it has reached its limit.

        :returns: whether it is blocked, unless another suspect explains its
            crashes.
        """
        return len(self.list_active()) >= self.limit

    def encode(self, now: float) -> ToldSuspect:
        """Encode it for other processes.

        :param now: seconds on the monotonic clock.
        :returns: the message.
        """
        strikes = tuple(
            ToldStrike(
                strike_id,
                one.is_cleared,
                int(max(now - one.changed_at, 0) * MS_PER_SECOND),
            )
            for strike_id, one in sorted(self.strikes.items())
        )
        trial_age_ms = (
            NO_TRIAL
            if self.trial_at is None
            else int(max(now - self.trial_at, 0) * MS_PER_SECOND)
        )
        return ToldSuspect(
            self.identity,
            self.customer,
            self.path,
            self.limit,
            strikes,
            self.is_part,
            trial_age_ms,
        )


def _get_changed_at(strike: Strike) -> float:
    return strike.changed_at
