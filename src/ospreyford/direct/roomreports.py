"""Log lines and metrics of groups as an entry sees them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from ospreyford.direct.roomdecisions import RoomClosed, RoomOpened

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from ospreyford.direct.gate import StreamGate
    from ospreyford.direct.grouproom import GroupRoom
    from ospreyford.direct.roomdecisions import RoomDecision
    from ospreyford.observability.logs import ChangeLog

LABELS: Final = ('service', 'group')


def log_rooms(service: str, gate: StreamGate, log: ChangeLog) -> None:
    """Log which groups have closed or opened since the last call.

    :param service: name of the service.
    :param gate: its gate.
    :param log: receives log events.
    """
    for room in gate.rooms.list_all():
        if room.take_change():
            log.log_change(_make_event(service, room, gate.waiting))


class RoomCollector(Collector):
    """Collects the figures of all groups when they are asked for.

    :param gates: gates by service.
    """

    def __init__(self, gates: Mapping[str, StreamGate]) -> None:
        self._gates = gates

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Collect the figures.

        :returns: one gauge for each figure.
        """
        running = _make_gauge('running', 'Streams of this entry in a group.')
        limit = _make_gauge('limit', 'Streams up to which it takes more.')
        is_open = _make_gauge('open', 'Whether a group takes streams.')
        for service, gate in self._gates.items():
            for room in gate.rooms.list_all():
                labels = (service, room.name)
                running.add_metric(labels, room.running)
                limit.add_metric(labels, room.limit.regular)
                is_open.add_metric(labels, not room.is_closed)
        yield from (running, limit, is_open)


def _make_gauge(name: str, text: str) -> GaugeMetricFamily:
    return GaugeMetricFamily(f'ospreyford_group_{name}', text, labels=LABELS)


def _make_event(service: str, room: GroupRoom, waiting: int) -> RoomDecision:
    view = room.make_view(waiting, is_repeat=False)
    if room.is_closed:
        return RoomClosed(
            service,
            room.name,
            room.epoch,
            view.age_ms,
            view.running,
            waiting,
        )
    return RoomOpened(
        service,
        room.name,
        room.epoch,
        view.age_ms,
        view.running,
        view.easy,
        waiting,
    )
