"""Logging and metrics of changes in the fleet."""

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


class FleetReporter:
    """Records fleet changes as log lines and metrics.

    :param changes: the log.
    :param metrics: the metrics.
    """

    def __init__(self, changes: ChangeLog, metrics: Metrics) -> None:
        self._changes = changes
        self._metrics = metrics
        self._rejected: frozenset[RejectedDocument] = frozenset()
        self._recorded_pauses = 0

    def record_picture(
        self, picture: ConfigurationSnapshot, revision: int
    ) -> None:
        """Record a new configuration in force.

        :param picture: the resolved documents in force.
        :param revision: the newest revision among them.
        """
        self._metrics.fleet.revision.set(revision)
        self._changes.log_change(ConfigurationInForce(revision, picture.digest))
        for rejected in picture.rejected:
            if rejected not in self._rejected:
                self._log_rejected(rejected, revision)
        self._rejected = frozenset(picture.rejected)

    def record_member_change(self, change: StateChange) -> None:
        """Log a member's state change.

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

    def record_pause(self, pauses: PauseGuard) -> None:
        """Log the latest pause once.

        :param pauses: the pause guard.
        """
        if pauses.pause_count > self._recorded_pauses:
            self._recorded_pauses = pauses.pause_count
            self._changes.log_change(PauseNoticed(pauses.last_pause_seconds))

    def record_replacement(self, replaced: Replaced) -> None:
        """Log that a later process with the same name replaced this one.

        :param replaced: the replacement.
        """
        self._changes.log_change(
            NotReady('replaced by {0}'.format(replaced.incarnation))
        )

    def record_member_counts(self, membership: Membership) -> None:
        """Update the member count of each state.

        :param membership: source of the counts.
        """
        for state, count in membership.summary.count_by_state().items():
            self._metrics.fleet.members.labels(state.value).set(count)

    def count_call(self, target: str, *, answered: bool) -> None:
        """Count a call to the platform.

        :param target: ``config_service`` or ``host_list``.
        :param answered: whether the response was usable.
        """
        outcome = 'answered' if answered else 'failed'
        self._metrics.fleet.platform_calls.labels(target, outcome).inc()

    def _log_rejected(
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
