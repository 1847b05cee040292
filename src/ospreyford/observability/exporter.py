"""Export of spans as OpenTelemetry JSON lines, in a thread."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.id_generator import IdGenerator
from opentelemetry.trace.status import Status, StatusCode

from ospreyford.observability.lines import LineWriter, Sink, open_sink
from ospreyford.observability.spans import Span

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.settings.sections import Identity, Traces

CLOSE_SECONDS = 2.0
BUFFERED_SPANS = 4096
HEX = 16
LINE_END = '\n'


class GivenIds(IdGenerator):
    """Hands the SDK the ids that the hop already sent to the next one."""

    def __init__(self) -> None:
        self.trace_id = 1
        self.span_id = 1

    def generate_trace_id(self) -> int:
        """Tell the trace id of the span that is being converted.

        :returns: the id.
        """
        return self.trace_id

    def generate_span_id(self) -> int:
        """Tell the id of the span that is being converted.

        :returns: the id.
        """
        return self.span_id


class LastSpan(SpanExporter):
    """Keeps the line of the span that ended last."""

    def __init__(self) -> None:
        self.line = b''

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Encode a span.

        :param spans: the one that just ended.
        :returns: success.
        """
        lines = [span.to_json(indent=None) for span in spans]
        self.line = LINE_END.join([*lines, '']).encode()
        return SpanExportResult.SUCCESS


class SpanEncoder:
    """Turns finished hops into lines of the OpenTelemetry SDK.

    An SDK span costs several times a hop of ours, so it is made only for the
    spans that are exported, in the writer's thread and not in the loop.

    :param identity: becomes the resource's attributes.
    """

    def __init__(self, identity: Identity) -> None:
        self._ids = GivenIds()
        self._last = LastSpan()
        provider = TracerProvider(
            id_generator=self._ids,
            resource=Resource(
                {
                    'service.name': 'ospreyford',
                    'host.name': identity.name,
                    'cloud.availability_zone': identity.zone,
                    'cloud.region': identity.region,
                }
            ),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(SimpleSpanProcessor(self._last))
        self._tracer = provider.get_tracer('ospreyford')

    def __call__(self, entry: object) -> bytes:
        """Encode a span.

        :param entry: a :class:`Span`.
        :returns: one line of JSON.
        """
        if isinstance(entry, Span):
            self._record(entry)
        return self._last.line

    def _record(self, span: Span) -> None:
        self._ids.trace_id = int(span.trace_id, HEX)
        self._ids.span_id = int(span.span_id, HEX)
        recorded = self._tracer.start_span(
            span.hop,
            context=_place_under(span),
            attributes={'request.id': span.request_id, **span.attributes},
            start_time=span.start_ns,
        )
        code = StatusCode.ERROR if span.failed else StatusCode.OK
        recorded.set_attribute('outcome', span.outcome)
        recorded.set_status(Status(code, span.outcome if span.failed else None))
        recorded.end(span.end_ns)


class SpanWriter:
    """Exports spans through a bounded buffer and a thread.

    :param settings: where they go.
    :param identity: names the host in each line.
    :param sink: writes the lines; by default what the settings name.
    :raises OSError: the file cannot be opened.
    """

    def __init__(
        self,
        settings: Traces,
        identity: Identity,
        sink: Sink | None = None,
    ) -> None:
        self.writer = LineWriter(
            SpanEncoder(identity),
            sink or open_sink(settings.path),
            BUFFERED_SPANS,
        )

    def export(self, span: Span) -> None:
        """Hand over a span; never waits.

        :param span: a finished span.
        """
        self.writer.put(span)

    def count_dropped(self) -> int:
        """Count the spans that were lost, since the file was slow.

        :returns: the number since the start.
        """
        return self.writer.dropped

    def close(self) -> bool:
        """Write what is left, for two seconds at most.

        :returns: whether everything was written.
        """
        return self.writer.close(CLOSE_SECONDS)


def _place_under(span: Span) -> Context:
    if not span.parent_id:
        return Context()
    parent = trace.SpanContext(
        int(span.trace_id, HEX),
        int(span.parent_id, HEX),
        is_remote=True,
        trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
    )
    return trace.set_span_in_context(trace.NonRecordingSpan(parent), Context())
