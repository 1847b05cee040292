"""W3C trace context in and out of header fields."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import trace
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from ospreyford.http.message import find_header

if TYPE_CHECKING:
    from ospreyford.http.message import Headers

TRACEPARENT = b'traceparent'
TRACESTATE = b'tracestate'
# Longer ones make the library log a line of its own; a caller must not be
# able to write to our log.
MAX_BYTES = 512

_propagator = TraceContextTextMapPropagator()


def parse_traceparent(headers: Headers) -> trace.SpanContext | None:
    """Read the caller's trace context.

    :param headers: the request's header fields, names in lower case.
    :returns: the context, or ``None`` if there is none or it is malformed: a
        new trace then replaces it, as the W3C recommendation asks.
    """
    parent = _read(headers, TRACEPARENT)
    if parent is None or _occurs_twice(headers):
        return None
    carrier = {'traceparent': parent}
    state = _read(headers, TRACESTATE)
    if state is not None:
        carrier['tracestate'] = state
    context = _propagator.extract(carrier)
    found = trace.get_current_span(context).get_span_context()
    return found if found.is_valid else None


def format_traceparent(context: trace.SpanContext) -> Headers:
    """Write a trace context for the next hop.

    :param context: the span that the next hop's span hangs under.
    :returns: the header fields, names in lower case.
    """
    carrier: dict[str, str] = {}
    span = trace.NonRecordingSpan(context)
    _propagator.inject(carrier, trace.set_span_in_context(span))
    return tuple(
        (name.encode(), content.encode()) for name, content in carrier.items()
    )


def _read(headers: Headers, name: bytes) -> str | None:
    found = find_header(headers, name)
    if found is None or len(found) > MAX_BYTES or not found.isascii():
        return None
    return found.decode('ascii')


def _occurs_twice(headers: Headers) -> bool:
    return sum(name == TRACEPARENT for name, _ in headers) > 1
