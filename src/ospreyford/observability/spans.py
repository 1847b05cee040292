"""One span for each hop of a request, and a bounded store of them."""

from __future__ import annotations

import time
from collections import deque
from itertools import chain
from types import TracebackType
from typing import TYPE_CHECKING, Literal

import msgspec
from opentelemetry import trace
from opentelemetry.trace.span import format_span_id, format_trace_id

from ospreyford.observability.ids import make_id, make_sampler
from ospreyford.observability.traceparent import format_traceparent

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ospreyford.http.message import Headers
    from ospreyford.settings.sections import Identity, Traces

#: The hops of a request, in the order in which it meets them.
Hop = Literal['caller', 'entry', 'agent', 'backend']

TRACE_BITS = 128
SPAN_BITS = 64


class Span(msgspec.Struct, frozen=True, kw_only=True):
    """One finished hop.

    :param request_id: the request.
    :param trace_id: 32 hexadecimal digits.
    :param span_id: 16 hexadecimal digits.
    :param parent_id: the span that this one hangs under, or empty.
    :param hop: which hop.
    :param host: the host that recorded it.
    :param start_ns: wall clock, nanoseconds since the Unix epoch.
    :param end_ns: ``start_ns`` plus the time that passed by the monotonic
        clock, so that a step of the wall clock cannot turn a span around.
    :param outcome: how the hop ended.
    :param failed: whether that is a failure.
    :param sampled: whether the trace is sampled.
    :param attributes: what else is known, by name.
    """

    request_id: str
    trace_id: str
    span_id: str
    parent_id: str
    hop: Hop
    host: str
    start_ns: int
    end_ns: int
    outcome: str
    failed: bool
    sampled: bool
    attributes: dict[str, str | int | float | bool] = {}


class SpanStore:
    """The spans that this process can still show.

    Two rings: a failed or sampled span is not pushed out by the many ordinary
    ones that come after it.

    :param capacity: spans in each ring.
    """

    def __init__(self, capacity: int) -> None:
        self._ordinary: deque[Span] = deque(maxlen=capacity)
        self._notable: deque[Span] = deque(maxlen=capacity)

    def add(self, span: Span) -> None:
        """Keep a span, in place of the oldest of its kind.

        :param span: of this process, or one that another handed over.
        """
        ring = self._notable if is_notable(span) else self._ordinary
        ring.append(span)

    def find_request(self, request_id: str) -> list[Span]:
        """Find the hops of a request.

        :param request_id: the request.
        :returns: its spans, by start.
        """
        return self._find(lambda span: span.request_id == request_id)

    def find_trace(self, trace_id: str) -> list[Span]:
        """Find the hops of a trace.

        :param trace_id: 32 hexadecimal digits.
        :returns: its spans, by start.
        """
        return self._find(lambda span: span.trace_id == trace_id)

    def _find(self, wanted: Callable[[Span], bool]) -> list[Span]:
        # An operator asks seldom, and spans come many a second: a scan of a
        # few thousand entries costs less than an index kept for each span.
        found = {
            span.span_id: span
            for span in chain(self._ordinary, self._notable)
            if wanted(span)
        }
        return sorted(found.values(), key=_read_start)


class OpenSpan:
    """A hop under way; ``context`` is what the next hop hangs under.

    Used as a context manager it ends the span, as failed if an exception
    leaves the block before :meth:`end` was called.

    :param tracer: where the span goes at its end.
    :param hop: which hop.
    :param request_id: the request.
    :param parent: the span that this one hangs under.
    """

    def __init__(
        self,
        tracer: Tracer,
        hop: Hop,
        request_id: str,
        parent: trace.SpanContext | None,
    ) -> None:
        self.attributes: dict[str, str | int | float | bool] = {}
        self.context = tracer.derive_context(parent)
        self._tracer = tracer
        self._hop: Hop = hop
        self._request_id = request_id
        self._parent = parent
        self._wall_ns = time.time_ns()
        self._started_ns = time.monotonic_ns()
        self._ended = False

    def __enter__(self) -> OpenSpan:
        """Start nothing; the span began when it was made.

        :returns: the span.
        """
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the span unless it has ended.

        :param kind: the exception's type, if one leaves the block.
        :param error: the exception.
        :param traceback: where it was raised.
        """
        if kind is None:
            self.end('done')
        else:
            self.end(kind.__name__, failed=True)

    def to_headers(self) -> Headers:
        """Write the trace context for the next hop.

        :returns: ``traceparent`` and, if the caller sent one, ``tracestate``.
        """
        return format_traceparent(self.context)

    def end(self, outcome: str, failed: bool = False) -> None:
        """End the span; a second end changes nothing.

        :param outcome: how the hop ended.
        :param failed: whether that is a failure.
        """
        if self._ended:
            return
        self._ended = True
        taken_ns = time.monotonic_ns() - self._started_ns
        self._tracer.finish(
            Span(
                request_id=self._request_id,
                trace_id=format_trace_id(self.context.trace_id),
                span_id=format_span_id(self.context.span_id),
                parent_id=_read_span_id(self._parent),
                hop=self._hop,
                host=self._tracer.host,
                start_ns=self._wall_ns,
                end_ns=self._wall_ns + taken_ns,
                outcome=outcome,
                failed=failed,
                sampled=self.context.trace_flags.sampled,
                attributes=self.attributes,
            ),
        )


class Tracer:
    """Starts spans, stores them and hands the notable ones on.

    :param settings: sample ratio and size of the store.
    :param identity: names the host in each span.
    :param export: takes each sampled or failed span and must not wait.
    """

    def __init__(
        self,
        settings: Traces,
        identity: Identity,
        export: Callable[[Span], None] | None = None,
    ) -> None:
        self.host = identity.name
        self.store = SpanStore(settings.max_spans)
        self._samples = make_sampler(settings.sample_ratio)
        self._export = export

    def start(
        self,
        hop: Hop,
        request_id: str,
        parent: trace.SpanContext | None = None,
    ) -> OpenSpan:
        """Start a span.

        :param hop: which hop.
        :param request_id: the request.
        :param parent: the caller's or the hop before; ``None`` for a new trace.
        :returns: the span under way.
        """
        return OpenSpan(self, hop, request_id, parent)

    def finish(self, span: Span) -> None:
        """Keep a finished span and export a notable one.

        :param span: the span.
        """
        self.store.add(span)
        if self._export is not None and is_notable(span):
            self._export(span)

    def derive_context(
        self, parent: trace.SpanContext | None
    ) -> trace.SpanContext:
        """Make the context of a new span.

        :param parent: the span above it; its sampling decision stands.
        :returns: a context with a fresh span id.
        """
        span_id = make_id(SPAN_BITS)
        if parent is not None:
            return trace.SpanContext(
                parent.trace_id,
                span_id,
                is_remote=False,
                trace_flags=parent.trace_flags,
                trace_state=parent.trace_state,
            )
        trace_id = make_id(TRACE_BITS)
        return trace.SpanContext(
            trace_id,
            span_id,
            is_remote=False,
            trace_flags=self._choose_flags(trace_id),
        )

    def _choose_flags(self, trace_id: int) -> trace.TraceFlags:
        if self._samples(trace_id):
            return trace.TraceFlags(trace.TraceFlags.SAMPLED)
        return trace.TraceFlags(trace.TraceFlags.DEFAULT)


def is_notable(span: Span) -> bool:
    """Tell whether a span is exported and kept apart.

    :param span: a finished span.
    :returns: whether it is sampled or failed.
    """
    return span.sampled or span.failed


def merge_spans(lists: Iterable[Iterable[Span]]) -> list[Span]:
    """Join what several processes know of one request.

    :param lists: the spans of each.
    :returns: each span once, by start.
    """
    found = {span.span_id: span for span in chain.from_iterable(lists)}
    return sorted(found.values(), key=_read_start)


def _read_start(span: Span) -> int:
    return span.start_ns


def _read_span_id(context: trace.SpanContext | None) -> str:
    return '' if context is None else format_span_id(context.span_id)
