"""Registrations that an older copy of the store shows again.

Load pattern: the store is away for a moment and comes back without what it has
acknowledged in its last seconds. Revisions are given out again, and backends
that were leaving look ready until they write again, seconds later.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from ospreyford.direct.registry import BackendServer

#: Age of a removal after which no copy can lack it.
REMOVAL_RETENTION_SECONDS = 300.0
#: Removals remembered; the oldest is forgotten first.
MAX_REMOVALS: Final = 4096
#: A registration that the store still holds after this time was renewed since:
#: those of silent backends expire sooner, and leaving backends have left.
REMOVAL_HOLD_SECONDS = 30.0
#: The same for backends that this entry never saw: nothing is known of them but
#: that they were not registered when it last read the store.
UNSEEN_HOLD_SECONDS = 6.0

#: Id and start time of a backend's process.
Incarnation = tuple[str, int]


class _Removal(NamedTuple):
    revision: int
    removed_at: float


class RemovedBackends:
    """Recently removed backends, with the revision of each removal."""

    def __init__(self) -> None:
        self._removals: dict[Incarnation, _Removal] = {}

    def __len__(self) -> int:
        return len(self._removals)

    def record(self, server: BackendServer, revision: int, now: float) -> None:
        """Record a removal.

        :param server: the backend's last registration.
        :param revision: revision of the store at which it was gone.
        :param now: seconds on the monotonic clock.
        """
        incarnation = server.get_incarnation()
        self._removals.pop(incarnation, None)
        self._removals[incarnation] = _Removal(revision, now)
        oldest = now - REMOVAL_RETENTION_SECONDS
        while len(self._removals) > MAX_REMOVALS or (
            next(iter(self._removals.values())).removed_at < oldest
        ):
            self._removals.pop(next(iter(self._removals)))

    def find_revision(self, server: BackendServer) -> int | None:
        """Find the removal of a backend's process.

        :param server: its registration.
        :returns: the revision of the removal, or ``None``.
        """
        removal = self._removals.get(server.get_incarnation())
        return None if removal is None else removal.revision

    def forget(self, server: BackendServer) -> None:
        """Forget the removal of a process that registered again.

        :param server: its registration.
        """
        self._removals.pop(server.get_incarnation(), None)


class _Held(NamedTuple):
    server: BackendServer
    release_at: float


class RegistrationGuard:
    """Keeps what was learned about backends against an older copy.

    A backend seen draining or gone stays so until its registration is written
    again after the restore, or another process registers.
    """

    def __init__(self) -> None:
        self.removed = RemovedBackends()
        self._restored_at: float | None = None
        self._position = 0
        self._baseline: int | None = None
        self._held: dict[str, _Held] = {}
        self._released: set[Incarnation] = set()

    def start(self, position: int, now: float) -> None:
        """Start to judge registrations against what was learned.

        :param position: revision up to which all registrations were known; 0
            if none were.
        :param now: seconds on the monotonic clock.
        """
        self._restored_at = now
        self._position = position
        self._baseline = None
        self._held.clear()
        self._released.clear()

    def record_reading(self, revision: int) -> None:
        """Record the store's revision at the first reading after a restore.

        :param revision: the revision; only the first one counts.
        """
        if self._restored_at is not None and self._baseline is None:
            self._baseline = revision

    def is_rewritten(self, revision: int) -> bool:
        """Check whether a value was written after the latest restore.

        :param revision: its revision.
        :returns: whether it is certainly not of the copy.
        """
        return self._baseline is not None and revision > self._baseline

    def is_outdated(
        self, server: BackendServer, known: BackendServer | None
    ) -> bool:
        """Check whether a registration is older than what was learned.

        Up to the copy, revisions of the copy are those of the lost history, so
        a registration from before a removal has the lower revision.

        :param server: the registration as read.
        :param known: that of the backend in use, if any.
        :returns: whether to keep what was learned.
        """
        if (
            self._restored_at is None
            or self.is_rewritten(server.revision)
            or server.get_incarnation() in self._released
        ):
            self.removed.forget(server)
            self._held.pop(server.id, None)
            return False
        if known is not None:
            if known.started_ms != server.started_ms:
                return server.started_ms < known.started_ms
            return server.revision < known.revision
        hold_seconds = self._compute_hold(server)
        if not hold_seconds:
            return False
        self._held[server.id] = _Held(server, self._restored_at + hold_seconds)
        return True

    def drop_held(self, server_id: str) -> None:
        """Drop a held registration that the store has removed.

        :param server_id: the backend's id.
        """
        self._held.pop(server_id, None)

    def release_renewed(self, now: float) -> list[BackendServer]:
        """Release the held registrations that the store has kept for long.

        :param now: seconds on the monotonic clock.
        :returns: the registrations of backends that are alive.
        """
        released = [
            held.server
            for held in self._held.values()
            if held.release_at <= now
        ]
        for server in released:
            self.removed.forget(server)
            self._held.pop(server.id)
            self._released.add(server.get_incarnation())
        return released

    def _compute_hold(self, server: BackendServer) -> float:
        removed_at = self.removed.find_revision(server)
        if removed_at is not None and server.revision < removed_at:
            return REMOVAL_HOLD_SECONDS
        # It was gone again when this entry last read the store.
        return UNSEEN_HOLD_SECONDS if server.revision <= self._position else 0
