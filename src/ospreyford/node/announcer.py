"""Logs and counts what this process learns of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.observability.events import (
    ConfigurationInForce,
    DocumentRejected,
    MemberChanged,
    NotReady,
    PauseNoticed,
)

if TYPE_CHECKING:
    from ospreyford.documents.parsing import RejectedDocument
    from ospreyford.documents.snapshot import ConfigurationSnapshot
    from ospreyford.membership.member import Replaced, StateChange
    from ospreyford.membership.service import Membership
    from ospreyford.node.pauses import PauseGuard
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.observability.metrics import Metrics


class Announcer:
    """Turns changes into log lines and metrics.

    :param changes: the log.
    :param metrics: the metrics.
    """

    def __init__(self, changes: ChangeLog, metrics: Metrics) -> None:
        self._changes = changes
        self._metrics = metrics
        self._rejected: frozenset[RejectedDocument] = frozenset()
        self._pauses = 0

    def tell_picture(
        self, picture: ConfigurationSnapshot, revision: int
    ) -> None:
        """Tell of a new picture.

        :param picture: what the documents in force say.
        :param revision: the newest revision among them.
        """
        self._metrics.fleet.revision.set(revision)
        self._changes.log_change(ConfigurationInForce(revision, picture.digest))
        for rejected in picture.rejected:
            if rejected not in self._rejected:
                self._tell_rejected(rejected, revision)
        self._rejected = frozenset(picture.rejected)

    def tell_member(self, change: StateChange) -> None:
        """Tell of a member's new state.

        :param change: the change.
        """
        before = change.before.value if change.before else 'unknown'
        self._changes.log_change(
            MemberChanged(
                change.member.name,
                change.member.incarnation,
                before,
                change.after.value,
            ),
        )

    def tell_pause(self, pauses: PauseGuard) -> None:
        """Tell of a pause once.

        :param pauses: counts them.
        """
        if pauses.pauses > self._pauses:
            self._pauses = pauses.pauses
            self._changes.log_change(PauseNoticed(pauses.last_seconds))

    def tell_replaced(self, replaced: Replaced) -> None:
        """Tell that a later process has this one's name.

        :param replaced: which.
        """
        self._changes.log_change(
            NotReady('replaced by {0}'.format(replaced.incarnation))
        )

    def count_members(self, membership: Membership) -> None:
        """Tell how many members are in each state.

        :param membership: counts them.
        """
        for state, count in membership.summary.count_by_state().items():
            self._metrics.fleet.members.labels(state.value).set(count)

    def count_call(self, target: str, *, answered: bool) -> None:
        """Count a call to the platform.

        :param target: ``config_service`` or ``host_list``.
        :param answered: whether a usable answer came.
        """
        outcome = 'answered' if answered else 'failed'
        self._metrics.fleet.platform_calls.labels(target, outcome).inc()

    def _tell_rejected(
        self,
        rejected: RejectedDocument,
        revision: int,
    ) -> None:
        self._changes.log_change(
            DocumentRejected(
                rejected.name,
                revision,
                rejected.path,
                f'allowed: {rejected.allowed}',
            ),
        )
