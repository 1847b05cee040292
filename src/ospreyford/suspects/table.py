"""Table of suspects, merged between processes without a store.

A suspect is a request, or a prompt part that requests share. Its crashes form a
set that only grows, and so do those of them that are cleared. Merging takes the
union of both, so repeated, reordered and lost messages do no harm: processes
that have exchanged what they know are equal.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

import xxhash

from ospreyford.suspects.identities import IDENTITY_BYTES
from ospreyford.suspects.messages import ToldStrike, ToldSuspect
from ospreyford.suspects.suspect import MS_PER_SECOND, Strike, Suspect

SECONDS_PER_HOUR = 3600.0
#: Suspects remembered; those with the fewest crashes go first.
MAX_SUSPECTS: Final = 256
#: Crashes remembered of each; the oldest cleared ones go first.
MAX_STRIKES: Final = 12
MAX_TEXT_CHARACTERS: Final = 80
BLOCKED_RETENTION_SECONDS = 24 * SECONDS_PER_HOUR
STRIKE_RETENTION_SECONDS = SECONDS_PER_HOUR
#: Long enough to reach all processes.
CLEARED_RETENTION_SECONDS = 120.0
#: Transmission makes a trial look younger; by less than this it is no news.
MIN_TRIAL_STEP_SECONDS = 1.0


class SuspectTable:
    """Suspects by identity; bounded.

    ``revision`` grows with each change of a crash or clearance.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._suspects: dict[bytes, Suspect] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def find(self, identity: bytes) -> Suspect | None:
        """Find a suspect.

        :param identity: its identity.
        :returns: the suspect, or ``None``.
        """
        return self._suspects.get(identity)

    def list_all(self) -> list[Suspect]:
        """List all suspects.

        :returns: the suspects, ordered by identity.
        """
        return [one for _, one in sorted(self._suspects.items())]

    def add_strike(
        self, suspect: Suspect, strike_id: int, now: float
    ) -> Suspect | None:
        """Add a crash that this process saw.

        :param suspect: the request; its own strikes are not considered.
        :param strike_id: id of the crash.
        :param now: seconds on the monotonic clock.
        :returns: the request as known now, or ``None`` if nothing changed.
        """
        known = self._suspects.setdefault(
            suspect.identity, replace(suspect, strikes={})
        )
        if strike_id in known.strikes:
            return None
        known.strikes[strike_id] = Strike(False, now, is_own=True)
        self.revision += 1
        self.expire(now)
        return known

    def clear(self, identity: bytes, now: float) -> bool:
        """Clear all crashes of a request that was answered whole.

        :param identity: its identity.
        :param now: seconds on the monotonic clock.
        :returns: whether any was not cleared before.
        """
        known = self._suspects.get(identity)
        if known is None or not known.list_active():
            return False
        for strike_id, strike in known.strikes.items():
            if not strike.is_cleared:
                known.strikes[strike_id] = Strike(True, now)
        self.revision += 1
        return True

    def clear_strike(self, identity: bytes, strike_id: int, now: float) -> bool:
        """Clear one crash.

        :param identity: identity of the request.
        :param strike_id: id of the crash.
        :param now: seconds on the monotonic clock.
        :returns: whether it was not cleared before.
        """
        known = self._suspects.get(identity)
        strike = known.strikes.get(strike_id) if known else None
        if known is None or strike is None or strike.is_cleared:
            return False
        known.strikes[strike_id] = Strike(True, now)
        self.revision += 1
        return True

    def record_trial(self, identity: bytes, now: float) -> None:
        """Record that a suspect is tried.

        :param identity: its identity.
        :param now: seconds on the monotonic clock.
        """
        known = self._suspects.get(identity)
        if known is not None:
            known.trial_at = now

    def merge(self, told: Iterable[ToldSuspect], now: float) -> set[bytes]:
        """Merge what another process knows.

        :param told: its suspects.
        :param now: seconds on the monotonic clock.
        :returns: identities of the suspects of which something is new.
        """
        changed = {
            one.identity for one in told if self._merge_suspect(one, now)
        }
        self.revision += len(changed)
        self.expire(now)
        return changed

    def encode(
        self, now: float, identities: Iterable[bytes] | None = None
    ) -> tuple[ToldSuspect, ...]:
        """Encode suspects for other processes.

        :param now: seconds on the monotonic clock.
        :param identities: those to encode; ``None`` for all.
        :returns: the messages.
        """
        chosen = None if identities is None else frozenset(identities)
        return tuple(
            one.encode(now)
            for one in self.list_all()
            if chosen is None or one.identity in chosen
        )

    def compute_digest(self) -> int:
        """Compute a digest of all crashes and clearances.

        :returns: 32 bits; 0 if there are none.
        """
        if not self._suspects:
            return 0
        known = [
            (one.identity, strike_id, strike.is_cleared)
            for one in self.list_all()
            for strike_id, strike in sorted(one.strikes.items())
        ]
        return xxhash.xxh32_intdigest(repr(known).encode()) or 1

    def expire(self, now: float) -> None:
        """Forget what is old, and what exceeds the bounds.

        :param now: seconds on the monotonic clock.
        """
        for suspect in self.list_all():
            _expire_strikes(suspect, now)
            if not suspect.strikes:
                self._suspects.pop(suspect.identity)
                self.revision += 1
        while len(self._suspects) > MAX_SUSPECTS:
            least = min(self._suspects.values(), key=_rank)
            self._suspects.pop(least.identity)
            self.revision += 1

    def _merge_suspect(self, told: ToldSuspect, now: float) -> bool:
        if len(told.identity) != IDENTITY_BYTES or told.limit < 1:
            return False
        known = self._suspects.setdefault(
            told.identity,
            Suspect(
                told.identity,
                told.customer[:MAX_TEXT_CHARACTERS],
                told.path[:MAX_TEXT_CHARACTERS],
                told.limit,
                is_part=told.is_part,
            ),
        )
        known.limit = min(known.limit, told.limit)
        news = [_merge_strike(known, strike, now) for strike in told.strikes]
        return any([*news, _merge_trial(known, told.trial_age_ms, now)])


def _merge_strike(known: Suspect, told: ToldStrike, now: float) -> bool:
    changed_at = now - max(told.age_ms, 0) / MS_PER_SECOND
    if told.is_cleared and now - changed_at >= CLEARED_RETENTION_SECONDS:
        return False
    earlier = known.strikes.get(told.id)
    if earlier is None or (told.is_cleared and not earlier.is_cleared):
        known.strikes[told.id] = Strike(told.is_cleared, changed_at)
        return True
    if earlier.is_cleared == told.is_cleared:
        # Transmission only makes an event look younger than it is.
        known.strikes[told.id] = earlier._replace(
            changed_at=min(earlier.changed_at, changed_at)
        )
    return False


def _merge_trial(known: Suspect, age_ms: int, now: float) -> bool:
    if age_ms < 0:
        return False
    trial_at = now - age_ms / MS_PER_SECOND
    earlier = known.trial_at
    if earlier is not None and trial_at < earlier + MIN_TRIAL_STEP_SECONDS:
        return False
    known.trial_at = trial_at
    return True


def _expire_strikes(suspect: Suspect, now: float) -> None:
    retention_seconds = {
        True: CLEARED_RETENTION_SECONDS,
        False: (
            BLOCKED_RETENTION_SECONDS
            if suspect.is_at_limit()
            else STRIKE_RETENTION_SECONDS
        ),
    }
    kept = [
        (strike_id, strike)
        for strike_id, strike in suspect.strikes.items()
        if now - strike.changed_at < retention_seconds[strike.is_cleared]
    ]
    # Active ones first, then the latest cleared ones.
    kept.sort(key=_rank_strike, reverse=True)
    suspect.strikes = dict(kept[:MAX_STRIKES])


def _rank_strike(item: tuple[int, Strike]) -> tuple[bool, float]:
    return not item[1].is_cleared, item[1].changed_at


def _rank(suspect: Suspect) -> tuple[int, float]:
    latest = max(one.changed_at for one in suspect.strikes.values())
    return len(suspect.list_active()), latest
