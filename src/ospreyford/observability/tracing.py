"""A process's tracer with the exporter that its settings name."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING

from ospreyford.observability.spans import Tracer

if TYPE_CHECKING:
    from ospreyford.observability.exporter import SpanWriter
    from ospreyford.observability.metrics import Metrics
    from ospreyford.settings.sections import Identity, Traces


class Tracing:
    """Spans of this process, stored and, if asked for, exported.

    :param settings: sample ratio, store and exporter.
    :param identity: names the host in each span.
    :param metrics: shows how many spans the exporter dropped.
    :raises OSError: the exporter's file cannot be opened.
    """

    def __init__(
        self, settings: Traces, identity: Identity, metrics: Metrics
    ) -> None:
        self._writer = open_exporter(settings, identity)
        export = None
        if self._writer is not None:
            export = self._writer.export
            metrics.watch_drops('spans', self._writer.count_dropped)
        self.tracer = Tracer(settings, identity, export)

    def close(self) -> bool:
        """Write what is left, for two seconds at most.

        :returns: whether everything was written.
        """
        return self._writer is None or self._writer.close()


def open_exporter(settings: Traces, identity: Identity) -> SpanWriter | None:
    """Open the exporter that the settings name.

    :param settings: names the exporter.
    :param identity: names the host in each line.
    :returns: the exporter, or ``None`` for none.
    :raises OSError: the file cannot be opened.
    """
    if settings.exporter == 'none':
        return None
    # The SDK that the exporter needs takes 2 MB of the 64 MB of a process,
    # and most processes export nothing.
    exporter = import_module('ospreyford.observability.exporter')
    writer: SpanWriter = exporter.SpanWriter(settings, identity)
    return writer
