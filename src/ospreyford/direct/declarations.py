"""What backends declare in their responses about further requests."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ospreyford.direct.backendlimits import BackendLimits
from ospreyford.direct.decimals import parse_decimal, shorten
from ospreyford.direct.declarationdecisions import (
    BackendBackoff,
    BackendLeaving,
    BackoffUnreadable,
)
from ospreyford.direct.zoneroom import ZoneRoom
from ospreyford.direct.zones import ZonesOut

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.direct.headernames import HeaderNames
    from ospreyford.direct.registry import (
        BackendRegistry,
        BackendServer,
        BackendState,
    )
    from ospreyford.http.message import Headers, Response
    from ospreyford.observability.logs import ChangeLog

#: Statuses of responses that may ask for a time without requests.
BACKOFF_STATUSES: Final = frozenset((429, 503))
RETRY_AFTER: Final = b'retry-after'
NOT_LEAVING: Final = b'0'
#: A registration may lapse for this long while its process goes on.
MEMORY_SECONDS: Final = 600.0


@dataclass
class Declaration:
    """What one backend process has declared.

    :param declared_at: when it last declared something, in seconds on the
        monotonic clock.
    :param backoff_until: end of the time for which it wants no requests of this
        entry, on that clock.
    :param is_leaving: whether it is leaving.
    :param is_unreadable: whether it declared something unreadable.
    """

    declared_at: float
    backoff_until: float = -math.inf
    is_leaving: bool = False
    is_unreadable: bool = False

    def get_resume_time(self) -> float:
        """Return when the process takes requests of this entry again.

        :returns: time on the monotonic clock; infinite if it is leaving.
        """
        return math.inf if self.is_leaving else self.backoff_until


class BackendDeclarations:
    """What all backends declare, and operators of their zones.

    Declarations belong to a process. They are kept apart from the
    registrations, which may lapse, return, or show an earlier state.

    :param names: names of the header fields.
    :param entry: the entry's name.
    :param log: receives log events.
    """

    def __init__(self, names: HeaderNames, entry: str, log: ChangeLog) -> None:
        self.limits = BackendLimits(names.limit, entry, log, names.cold)
        self.zones = ZonesOut()
        self.room = ZoneRoom(self.zones)
        self._names = names
        self._log = log
        #: By incarnation.
        self._declarations: dict[tuple[str, int], Declaration] = {}

    @property
    def backoff_count(self) -> int:
        """Number of backends that want no requests for some time."""
        now = time.monotonic()
        return sum(
            one.backoff_until > now for one in self._declarations.values()
        )

    @property
    def leaving_count(self) -> int:
        """Number of backends that declared that they are leaving."""
        return sum(one.is_leaving for one in self._declarations.values())

    def has_any(self) -> bool:
        """Check whether anything may keep requests from a backend.

        :returns: whether a backend has declared something, even if it no longer
            matters, or a zone is out.
        """
        return bool(self._declarations or self.zones.names)

    def accepts(self, server: BackendServer, now: float) -> bool:
        """Check whether a backend takes requests of this entry.

        :param server: its registration.
        :param now: seconds on the monotonic clock.
        :returns: whether a request may be sent to it.
        """
        return self._get_resume_time(server) <= now

    def list_accepting(
        self, backends: Iterable[BackendState], now: float
    ) -> list[BackendState]:
        """List the backends that take requests of this entry.

        :param backends: the backends to select from.
        :param now: seconds on the monotonic clock.
        :returns: those to which a request may be sent.
        """
        if self._declarations:
            return [one for one in backends if self.accepts(one.server, now)]
        # Asked for each request, for all backends of its service.
        names = self.zones.names
        return [one for one in backends if one.server.zone not in names]

    def find_resume_time(self, backends: Iterable[BackendState]) -> float:
        """Find when the first of several backends takes requests again.

        :param backends: the backends.
        :returns: time on the monotonic clock; not above the present one if a
            backend takes requests now, infinite if all are leaving or in zones
            that are out.
        """
        return min(
            (self._get_resume_time(one.server) for one in backends),
            default=-math.inf,
        )

    def record_response(
        self, server: BackendServer, head: Response, sent_at: float
    ) -> None:
        """Record what a response declares.

        :param server: the backend that sent the response.
        :param head: status and header fields.
        :param sent_at: when the request was sent, in seconds on the monotonic
            clock.
        """
        self.limits.record_response(server, head.headers, sent_at)
        if head.status in BACKOFF_STATUSES:
            for text in list_values(head.headers, RETRY_AFTER):
                self._record_backoff(server, text)
        for text in list_values(head.headers, self._names.leaving):
            if text.strip() != NOT_LEAVING:
                self._record_leaving(server)

    def forget_ended(self, backends: BackendRegistry) -> None:
        """Forget the declarations of backends that ended long ago.

        :param backends: the registered backends.
        """
        now = time.monotonic()
        self.limits.forget_ended(backends)
        self._declarations = {
            incarnation: one
            for incarnation, one in self._declarations.items()
            if max(one.declared_at + MEMORY_SECONDS, one.backoff_until) > now
            or backends.find(incarnation[0])
        }

    def _get_resume_time(self, server: BackendServer) -> float:
        if self.zones.is_out(server.zone):
            return math.inf
        declaration = self._declarations.get(server.get_incarnation())
        return (
            -math.inf if declaration is None else declaration.get_resume_time()
        )

    def _declare(self, server: BackendServer, now: float) -> Declaration:
        declaration = self._declarations.setdefault(
            server.get_incarnation(), Declaration(now)
        )
        declaration.declared_at = now
        return declaration

    def _record_backoff(self, server: BackendServer, text: bytes) -> None:
        now = time.monotonic()
        declaration = self._declare(server, now)
        seconds = parse_decimal(text)
        if seconds is None:
            self._log_unreadable(server, declaration, text)
            return
        if declaration.backoff_until <= now:
            self._log.log_change(
                BackendBackoff(server.id, server.service, seconds)
            )
        declaration.backoff_until = max(
            declaration.backoff_until, now + seconds
        )

    def _record_leaving(self, server: BackendServer) -> None:
        declaration = self._declare(server, time.monotonic())
        if not declaration.is_leaving:
            declaration.is_leaving = True
            self._log.log_change(BackendLeaving(server.id, server.service))

    def _log_unreadable(
        self, server: BackendServer, declaration: Declaration, text: bytes
    ) -> None:
        if declaration.is_unreadable:
            return
        declaration.is_unreadable = True
        self._log.log_change(
            BackoffUnreadable(server.id, server.service, shorten(text))
        )


def list_values(headers: Headers, name: bytes) -> list[bytes]:
    """List the values of a header field that may occur several times.

    :param headers: fields with lower-case names.
    :param name: the lower-case name.
    :returns: the raw values.
    """
    return [content for field, content in headers if field == name]
