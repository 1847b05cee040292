"""Request rates that backends declare, or take while they are cold."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ospreyford.direct.coldbackends import ColdBackends
from ospreyford.direct.decimals import parse_decimal, shorten
from ospreyford.direct.entryshare import ShareTracker
from ospreyford.direct.freshness import read_boot_clock
from ospreyford.direct.grantclient import GrantClient
from ospreyford.direct.limitdecisions import (
    BackendLimited,
    BackendUnlimited,
    LimitUnreadable,
)
from ospreyford.direct.requestslots import Moment, RequestSlots
from ospreyford.http.message import find_header
from ospreyford.sendgrants.book import GrantBook
from ospreyford.sendgrants.bounds import FREE_FRACTION, UNARBITRATED_FRACTION

if TYPE_CHECKING:
    from ospreyford.direct.registry import (
        BackendRegistry,
        BackendServer,
        BackendState,
    )
    from ospreyford.http.message import Headers
    from ospreyford.observability.logs import ChangeLog

#: A registration may lapse for this long while its process goes on.
LIMIT_MEMORY_SECONDS: Final = 600.0
#: A limit that was not declared for this long may have ended.
OVERDUE_SECONDS: Final = 4.0
#: A slot lapses if the process was paused for longer.
MAX_SLOT_DELAY_SECONDS: Final = 0.25


@dataclass
class BackendLimit:
    """The request rate that one backend process declares.

    :param slots: when this entry may send requests to it.
    :param rate: requests per second from all entries together; ``None`` if it
        declares none.
    :param declared_at: when it last declared one, or no longer did, in seconds
        on the monotonic clock.
    :param is_unreadable: whether it declared something unreadable.
    """

    slots: RequestSlots
    rate: float | None = None
    declared_at: float = 0
    is_unreadable: bool = False

    def apply(self, rate: float | None, sent_at: float, now: float) -> None:
        """Apply what a response declares.

        Responses on different connections overtake each other. One to a request
        that was sent before the latest declaration arrived may be older than
        it, and must not raise the limit.

        :param rate: requests per second; ``None`` if it declares none.
        :param sent_at: when the request was sent, in seconds on the monotonic
            clock.
        :param now: seconds on that clock.
        """
        is_newer = sent_at > self.declared_at
        if is_newer or self.rate is None:
            self.rate = rate
        elif rate is not None:
            self.rate = min(rate, self.rate)
        if is_newer or rate is not None:
            self.declared_at = now


class BackendLimits:
    """The request rates in force at all backends.

    The rate in force is the lower of what a backend declares and what it takes
    while it is cold. Most of it is granted by agents; a small part of it is
    shared equally by entries that get no grants.

    Declared rates are kept apart from the registrations: a registration that
    lapses and returns does not end the limit of a process.

    :param field_name: name of the header field, in lower case.
    :param entry: the entry's name.
    :param log: receives log events.
    :param cold_field: name of the field that tells how long a backend stays
        cold.
    """

    def __init__(
        self,
        field_name: bytes,
        entry: str,
        log: ChangeLog,
        cold_field: bytes = b'',
    ) -> None:
        self.shares = ShareTracker(entry, time.monotonic())
        self.cold = ColdBackends(log, cold_field)
        self.grants = GrantBook()
        self.grant_client = GrantClient(self.grants)
        self._field_name = field_name
        self._log = log
        #: By incarnation.
        self._limits: dict[tuple[str, int], BackendLimit] = {}
        #: Of backends that declare no limit.
        self._slots: dict[tuple[str, int], RequestSlots] = {}

    @property
    def limited_count(self) -> int:
        """Number of backends that declare a limit."""
        return sum(one.rate is not None for one in self._limits.values())

    def has_any(self) -> bool:
        """Check whether any backend may take a limited rate.

        :returns: whether one has declared a limit, even if it no longer does,
            or may be cold.
        """
        return bool(self._limits) or self.cold.has_any()

    def get_rate(self, server: BackendServer) -> float | None:
        """Return the rate in force at a backend.

        :param server: its registration.
        :returns: requests per second; ``None`` if it is not limited.
        """
        limit = self._limits.get(server.get_incarnation())
        declared = None if limit is None else limit.rate
        cold = self.cold.get_rate(server)
        if declared is None or cold is None:
            return cold if declared is None else declared
        return min(declared, cold)

    def find_slot(self, server: BackendServer, now: float) -> float:
        """Find when the next request may be sent to a backend.

        :param server: its registration.
        :param now: seconds on the monotonic clock.
        :returns: time on that clock; now if a request may be sent.
        """
        rate = self.get_rate(server)
        if rate is None:
            return now
        if self.grants.holds(name_process(server), read_boot_clock()):
            return now
        rate *= self._get_free_fraction(server)
        share = self.shares.get_share(now)
        moment = Moment(now, time.time())
        return self._get_slots(server).find_next(rate, share, moment)

    def take_slot(self, server: BackendServer, at: float) -> float | None:
        """Take a slot of a backend for a request.

        :param server: its registration.
        :param at: when the request is sent, in seconds on the monotonic clock.
        :returns: when the slot lapses, in seconds on the boot clock; ``None``
            if the backend is not limited.
        """
        if self.get_rate(server) is None:
            return None
        now = read_boot_clock()
        lapses_at = self.grants.take(name_process(server), now)
        if lapses_at is not None:
            return lapses_at
        self._get_slots(server).take(at)
        wait = max(at - time.monotonic(), 0)
        return now + wait + MAX_SLOT_DELAY_SECONDS

    def is_overdue(self, backend: BackendState, now: float) -> bool:
        """Check whether a limit may have ended without this entry's notice.

        :param backend: the backend.
        :param now: seconds on the monotonic clock.
        :returns: whether it declared a limit, but not recently.
        """
        limit = self._limits.get(backend.server.get_incarnation())
        if limit is None or limit.rate is None:
            return False
        return now - limit.declared_at > OVERDUE_SECONDS

    def record_response(
        self, server: BackendServer, headers: Headers, sent_at: float
    ) -> None:
        """Record what a backend's response declares or tells.

        :param server: the backend that sent the response.
        :param headers: the response's header fields.
        :param sent_at: when the request was sent, in seconds on the monotonic
            clock.
        """
        self.cold.record_response(server, headers, sent_at)
        text = find_header(headers, self._field_name)
        incarnation = server.get_incarnation()
        if text is None and incarnation not in self._limits:
            return
        limit = self._limits.setdefault(
            incarnation, BackendLimit(RequestSlots(server.id))
        )
        rate = None if text is None else parse_decimal(text)
        if text is not None and rate is None:
            self._record_unreadable(server, limit, text)
            return
        previous = limit.rate
        limit.apply(rate, sent_at, time.monotonic())
        if limit.rate != previous:
            self._log_change(server, limit.rate)

    def forget_ended(self, backends: BackendRegistry) -> None:
        """Forget the limits of backends that ended, or are warm, long ago.

        :param backends: the registered backends.
        """
        self.cold.sweep(backends)
        self.grants.forget_idle(read_boot_clock(), LIMIT_MEMORY_SECONDS)
        self._slots = {
            incarnation: slots
            for incarnation, slots in self._slots.items()
            if backends.find(incarnation[0])
        }
        oldest = time.monotonic() - LIMIT_MEMORY_SECONDS
        self._limits = {
            incarnation: limit
            for incarnation, limit in self._limits.items()
            if limit.declared_at > oldest or backends.find(incarnation[0])
        }

    def _get_free_fraction(self, server: BackendServer) -> float:
        if self.grants.has_agents:
            return FREE_FRACTION
        # The bound of a cold backend is on a shorter time.
        is_cold = self.cold.get_rate(server) is not None
        return UNARBITRATED_FRACTION if is_cold else 1

    def _get_slots(self, server: BackendServer) -> RequestSlots:
        incarnation = server.get_incarnation()
        limit = self._limits.get(incarnation)
        if limit is not None:
            return limit.slots
        return self._slots.setdefault(incarnation, RequestSlots(server.id))

    def _log_change(self, server: BackendServer, rate: float | None) -> None:
        if rate is None:
            self._log.log_change(BackendUnlimited(server.id, server.service))
        else:
            self._log.log_change(
                BackendLimited(server.id, server.service, rate)
            )

    def _record_unreadable(
        self, server: BackendServer, limit: BackendLimit, text: bytes
    ) -> None:
        if limit.is_unreadable:
            return
        limit.is_unreadable = True
        self._log.log_change(
            LimitUnreadable(server.id, server.service, shorten(text))
        )


def name_process(server: BackendServer) -> str:
    """Name a backend's process, the same at all entries.

    :param server: its registration.
    :returns: id and start time.
    """
    return f'{server.id}/{server.started_ms}'
