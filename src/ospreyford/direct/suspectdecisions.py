"""Decision whether a request is sent, from all that is suspected of it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ospreyford.direct.entryshare import compute_fraction
from ospreyford.suspects.blame import find_blamed
from ospreyford.suspects.decisions import Decision, Delays, decide

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.suspects.table import SuspectTable


class SuspectDecisions:
    """Blocks and trials of requests and prompt parts.

    :param table: all suspects.
    :param name: name of this entry.
    """

    def __init__(self, table: SuspectTable, name: str) -> None:
        self._table = table
        self._turn = compute_fraction(name)
        self._blamed: dict[bytes, frozenset[bytes]] = {}
        self._revision = 0

    def find_blamed(self) -> dict[bytes, frozenset[bytes]]:
        """Find the suspects that are blamed for crashes.

        :returns: identities of the blamed, each with all that were at the same
            crashes.
        """
        if self._revision != self._table.revision:
            self._blamed = find_blamed(self._table.list_all())
            self._revision = self._table.revision
        return self._blamed

    def decide(self, identities: Sequence[bytes]) -> Decision:
        """Decide whether a request is sent.

        :param identities: its own and those of the prompt parts that it shares.
        :returns: the decision; a trial if all that it is blamed for allows one.
        """
        held = self._list_held(identities)
        decisions = {self._decide_one(one, identities) for one in held}
        if Decision.block in decisions:
            return Decision.block
        return Decision.trial if Decision.trial in decisions else Decision.send

    def record_trial(self, identities: Sequence[bytes]) -> list[bytes]:
        """Record that a request is sent as a trial.

        :param identities: its own and those of the prompt parts that it shares.
        :returns: those that are tried.
        """
        held = self._list_held(identities)
        now = time.monotonic()
        for identity in held:
            self._table.record_trial(identity, now)
        return held

    def _list_held(self, identities: Sequence[bytes]) -> list[bytes]:
        blamed = self.find_blamed()
        return [one for one in identities if one in blamed]

    def _decide_one(
        self, identity: bytes, identities: Sequence[bytes]
    ) -> Decision:
        suspect = self._table.find(identity)
        equal = self.find_blamed()[identity]
        return decide(
            suspect,
            suspect.trial_at if suspect else None,
            time.monotonic(),
            Delays(
                is_ambiguous=not equal.issubset(identities), turn=self._turn
            ),
        )
