"""What operators see of zones taken out of service: rows and log lines."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.direct.zonedecisions import (
    ZoneEmptied,
    ZoneTakenBack,
    ZoneTakenOut,
)

if TYPE_CHECKING:
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.zones import ZoneStatus

IN_SERVICE = 'in service'
OUT = 'out'
RETURNING = 'returning'


class ZoneRow(NamedTuple):
    """A zone, as shown to operators.

    :param zone: its name.
    :param state: ``in service``, ``out`` or ``returning``.
    :param share: part of the requests that may go there.
    :param seconds: time since this entry learned of the latest change;
        ``None`` if there was none lately.
    :param backends: known backends there.
    :param under_way: requests of this entry under way there.
    """

    zone: str
    state: str
    share: float
    seconds: float | None
    backends: int
    under_way: int


def list_zones(context: EntryContext, now: float) -> list[ZoneRow]:
    """List the zones that have backends, and those that are out.

    :param context: shared state of the entry.
    :param now: seconds on the monotonic clock.
    :returns: one row each, by name.
    """
    backends = count_backends(context)
    statuses = context.zones.get_statuses()
    names = sorted(backends.keys() | statuses.keys())
    return [
        _make_row(context, name, backends[name], now)
        for name in names
        if backends[name] or context.zones.is_out(name)
    ]


def count_backends(context: EntryContext) -> Counter[str]:
    """Count the known backends of each zone.

    :param context: shared state of the entry.
    :returns: their number by zone.
    """
    found = map(context.backends.find, context.backends.list_ids())
    return Counter(one.server.zone for one in found if one is not None)


class ZoneReporter:
    """Logs as zones go out, are empty and are taken back.

    :param context: shared state of the entry.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        #: Zones logged as out; whether requests are under way there.
        self._reported: dict[str, bool] = {}

    def report(self, now: float) -> None:
        """Log what has changed since the last call.

        :param now: seconds on the monotonic clock.
        """
        zones = self._context.zones
        if not zones.has_any() and not self._reported:
            return
        for zone, status in zones.get_statuses().items():
            if status.is_out and zone not in self._reported:
                self._log_start(zone, status)
            elif status.is_out:
                self._log_end_of_requests(zone, now - status.changed_at)
            elif zone in self._reported:
                self._log_return(zone, status)

    def _log_start(self, zone: str, status: ZoneStatus) -> None:
        requests = self._context.zones.under_way[zone]
        self._reported[zone] = requests > 0
        backends = count_backends(self._context)[zone]
        self._context.log.log_change(
            ZoneTakenOut(zone, status.revision, backends, requests)
        )

    def _log_end_of_requests(self, zone: str, seconds: float) -> None:
        if self._reported[zone] and not self._context.zones.under_way[zone]:
            self._reported[zone] = False
            self._context.log.log_change(ZoneEmptied(zone, round(seconds, 1)))

    def _log_return(self, zone: str, status: ZoneStatus) -> None:
        self._reported.pop(zone)
        self._context.log.log_change(
            ZoneTakenBack(
                zone,
                status.revision,
                count_backends(self._context)[zone],
                self._context.zones.under_way[zone],
            )
        )


def _make_row(
    context: EntryContext, zone: str, backends: int, now: float
) -> ZoneRow:
    status = context.zones.get_statuses().get(zone)
    share = context.zones.compute_share(zone, now)
    state = RETURNING if share < 1 else IN_SERVICE
    if context.zones.is_out(zone):
        state = OUT
    return ZoneRow(
        zone,
        state,
        round(share, 2),
        None if status is None else round(now - status.changed_at, 1),
        backends,
        context.zones.under_way[zone],
    )
