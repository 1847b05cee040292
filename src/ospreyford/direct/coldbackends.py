"""Backends that are cold, and the request rates that they take meanwhile.

Load pattern: backends start, or become cold again, while many entries send to
them. Each entry hears of it at another moment: from the registration, by the
time since the start, or from a response. An entry whose view of the store is
old may have missed it.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from ospreyford.direct.colddecisions import (
    BackendCold,
    BackendWarm,
    ColdKnown,
    ColdUnknown,
)
from ospreyford.direct.coldstate import ColdState, UnreadableNumbers
from ospreyford.direct.decimals import parse_decimal, shorten
from ospreyford.direct.freshness import read_boot_clock
from ospreyford.http.message import find_header
from ospreyford.sendgrants.bounds import compute_cold_rate

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ospreyford.direct.catalog import Service
    from ospreyford.direct.freshness import StateFreshness
    from ospreyford.direct.registry import BackendRegistry, BackendServer
    from ospreyford.http.message import Headers
    from ospreyford.observability.logs import ChangeLog

MS_PER_SECOND = 1000
#: Age of the view of the store from which it may lack a sign, as a fraction of
#: the time for which withdrawn keys may be used. A watch waits for 0.3 of that
#: time, and confirms the view as of its start, so ages up to 0.6 are usual.
DOUBT_FRACTION: Final = 0.75
#: The same where keys may be used for any time and a watch waits for 10 s.
DOUBT_SECONDS: Final = 25.0

#: Clocks of hosts differ by less.
CLOCK_MARGIN_SECONDS: Final = 1.0

#: Id and start time of a backend's process.
Incarnation = tuple[str, int]


class ColdBackends:
    """Backends that are cold, as far as this entry can tell.

    Nothing is kept of backends that are known to be warm.

    :param log: receives log events.
    :param field_name: name of the header field that tells for how many
        milliseconds a backend stays cold, in lower case; empty if there is
        none.
    """

    def __init__(self, log: ChangeLog, field_name: bytes = b'') -> None:
        self.freshness: StateFreshness | None = None
        self._log = log
        self._field_name = field_name
        #: Services with a rate for cold backends.
        self._services: dict[str, Service] = {}
        self._states: dict[Incarnation, ColdState] = {}
        self._is_configured = False
        self._was_unknown = False
        self._unreadable = UnreadableNumbers(log)

    @property
    def cold_count(self) -> int:
        """Number of backends that are cold."""
        now = read_boot_clock()
        return sum(self._is_cold(one, now) for one in self._states.values())

    @property
    def unknown_count(self) -> int:
        """Whether it is unknown which backends are cold: 1, else 0."""
        return int(self.is_unknown())

    def has_any(self) -> bool:
        """Check whether a backend may be cold.

        :returns: whether one may, even if none is.
        """
        if not self._services:
            return False
        return bool(self._states) or self.is_unknown()

    def is_unknown(self) -> bool:
        """Check whether backends may be cold without this entry's notice.

        :returns: whether the view of the store is too old to tell.
        """
        freshness = self.freshness
        if freshness is None or not self._services:
            return False
        age = freshness.compute_age()
        revoke_seconds = freshness.bounds.revoke_seconds
        most = DOUBT_SECONDS
        if revoke_seconds is not None:
            most = DOUBT_FRACTION * revoke_seconds
        return age is None or age > most

    def get_rate(self, server: BackendServer) -> float | None:
        """Return the rate that a cold backend takes.

        :param server: its registration.
        :returns: requests per second from all entries together; ``None`` if it
            is warm or its service publishes none.
        """
        state = self._states.get(server.get_incarnation())
        if state is None and not self.is_unknown():
            return None
        service = self._services.get(server.service)
        if service is None or service.cold_rate is None:
            return None
        is_cold = state is not None and self._is_cold(state, read_boot_clock())
        if not is_cold and not self.is_unknown():
            return None
        if self.freshness is None:
            return service.cold_rate
        bounds = self.freshness.bounds
        return compute_cold_rate(
            service.cold_rate, bounds.cold_overage, bounds.cold_slack
        )

    def update_services(self, services: Mapping[str, Service]) -> None:
        """Apply a published configuration.

        :param services: services by name.
        """
        self._is_configured = True
        self._services = {
            name: service
            for name, service in services.items()
            if service.cold_rate is not None
        }
        for service in services.values():
            self._unreadable.record(service.name, service.problems)

    def record_registration(
        self, server: BackendServer, known: BackendServer | None
    ) -> None:
        """Record what a registration tells.

        A registration that does not tell how long the backend stays cold leaves
        the time since its start, or else since it was first read.

        :param server: the registration.
        :param known: the one before, if any.
        """
        incarnation = server.get_incarnation()
        is_known = known is not None and server.is_same_incarnation(known)
        if is_known and known is not None and known.revision == server.revision:
            # Read again: the time that it tells has gone on.
            return
        state = self._states.get(incarnation) or ColdState(server)
        state.server = server
        now = read_boot_clock()
        if server.cold_seconds is not None:
            state.started_at = None
            state.registered_until = now + server.cold_seconds
        elif not is_known:
            age: float = 0
            if server.started_ms:
                age = time.time() - server.started_ms / MS_PER_SECOND
            state.started_at = now - max(age - CLOCK_MARGIN_SECONDS, 0)
        if server.cold_seconds or state.started_at is not None:
            self._states[incarnation] = state
        self._log_start(state, now)

    def record_response(
        self, server: BackendServer, headers: Headers, sent_at: float
    ) -> None:
        """Record what a response tells.

        Responses overtake each other: one to a request that was sent before the
        latest sign arrived may not shorten the time.

        :param server: the backend that sent it.
        :param headers: its header fields.
        :param sent_at: when the request was sent, in seconds on the monotonic
            clock.
        """
        if not self._field_name or not self._services:
            return
        text = find_header(headers, self._field_name)
        if text is None:
            return
        milliseconds = parse_decimal(text)
        if milliseconds is None:
            self._unreadable.record(server.id, (shorten(text),))
            return
        incarnation = server.get_incarnation()
        state = self._states.get(incarnation)
        if state is None:
            if not milliseconds:
                return
            state = ColdState(server)
            self._states[incarnation] = state
        now = read_boot_clock()
        end = now + milliseconds / MS_PER_SECOND
        if sent_at > state.told_at:
            state.told_until = end
            state.told_at = time.monotonic()
        else:
            state.told_until = max(state.told_until, end)
        self._log_start(state, now)

    def sweep(self, backends: BackendRegistry) -> None:
        """Forget and log the backends that are warm.

        :param backends: the registered backends.
        """
        is_unknown = self.is_unknown()
        if is_unknown is not self._was_unknown:
            self._was_unknown = is_unknown
            self._log_doubt(is_unknown=is_unknown)
        if not self._states or not self._is_configured:
            return
        now = read_boot_clock()
        for incarnation, state in list(self._states.items()):
            self._log_start(state, now)
            is_over = state.find_end(self._get_seconds(state)) <= now
            if is_over or backends.find(incarnation[0]) is None:
                self._states.pop(incarnation)
            if is_over and state.is_cold:
                self._log.log_change(
                    BackendWarm(state.server.id, state.server.service)
                )

    def _get_seconds(self, state: ColdState) -> float:
        service = self._services.get(state.server.service)
        return 0 if service is None else service.cold_seconds

    def _is_cold(self, state: ColdState, now: float) -> bool:
        if state.server.service not in self._services:
            return False
        return now < state.find_end(self._get_seconds(state))

    def _log_start(self, state: ColdState, now: float) -> None:
        service = self._services.get(state.server.service)
        if service is None or service.cold_rate is None:
            return
        if state.is_cold or not self._is_cold(state, now):
            return
        state.is_cold = True
        end = state.find_end(service.cold_seconds)
        self._log.log_change(
            BackendCold(
                state.server.id,
                state.server.service,
                state.find_sign(),
                service.cold_rate,
                round(end - now, 3),
            )
        )

    def _log_doubt(self, *, is_unknown: bool) -> None:
        if not is_unknown:
            self._log.log_change(ColdKnown())
            return
        age = self.freshness.compute_age() if self.freshness else None
        self._log.log_change(
            ColdUnknown(-1 if age is None else int(age * MS_PER_SECOND))
        )
