from __future__ import annotations

import pathlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from opentelemetry.trace import SpanContext, TraceFlags

from ospreyford.http.message import Headers
from ospreyford.observability.exporter import SpanWriter
from ospreyford.observability.metrics import Metrics
from ospreyford.observability.spans import Span, Tracer, merge_spans
from ospreyford.observability.traceparent import (
    format_traceparent,
    parse_traceparent,
)
from ospreyford.observability.tracing import Tracing
from ospreyford.settings.sections import Identity, Traces

IDENTITY = Identity(name='entry-1', instance='i-1', zone='a', region='north')
TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
SPAN_ID = 'b7ad6b7169203331'
GOOD = f'00-{TRACE_ID}-{SPAN_ID}-01'.encode()
NO_TRACE = '0' * 32
NO_SPAN = '0' * 16


def fields(parent: bytes, *more: tuple[bytes, bytes]) -> Headers:
    return ((b'host', b'x'), (b'traceparent', parent), *more)


BAD = (
    fields(b''),
    fields(b'00'),
    fields(f'00-{NO_TRACE}-{SPAN_ID}-01'.encode()),
    fields(f'00-{TRACE_ID}-{NO_SPAN}-01'.encode()),
    fields(f'ff-{TRACE_ID}-{SPAN_ID}-01'.encode()),
    fields(GOOD.upper()),
    fields(b'%b-x' % GOOD),
    fields(GOOD[:-1]),
    fields(b'\xff%b' % GOOD),
    fields(GOOD.rjust(700)),
    fields(GOOD, (b'traceparent', GOOD)),
    ((b'host', b'x'),),
)


@pytest.mark.parametrize('headers', BAD)
def test_bad_parent_is_replaced(headers: Headers) -> None:
    # Symptom: hops of strangers' requests appear under one trace.
    # Sequence: a caller sends a malformed or ambiguous traceparent, which
    # goes on to the next hops as it is.
    # Cause: a caller's header trusted unparsed.
    assert parse_traceparent(headers) is None
    span = Tracer(Traces(), IDENTITY).start('entry', 'r1')
    assert span.context.is_valid
    assert f'{span.context.trace_id:032x}' != TRACE_ID


def test_good_parent_is_kept() -> None:
    state = (b'tracestate', b'a=1')
    parent = parse_traceparent(fields(GOOD, state))
    tracer = Tracer(Traces(sample_ratio=0), IDENTITY)
    span = tracer.start('entry', 'r1', parent)
    sent = dict(span.to_headers())
    assert sent[b'tracestate'] == b'a=1'
    version, trace_id, span_id, flags = sent[b'traceparent'].split(b'-')
    assert (version, trace_id, flags) == (b'00', TRACE_ID.encode(), b'01')
    assert span_id.decode() == f'{span.context.span_id:016x}'
    assert span_id.decode() != SPAN_ID


@settings(max_examples=100, derandomize=True)
@given(
    trace_id=st.integers(1, 2**128 - 1),
    span_id=st.integers(1, 2**64 - 1),
    flags=st.integers(0, 255),
)
def test_round_trip(trace_id: int, span_id: int, flags: int) -> None:
    context = SpanContext(trace_id, span_id, False, TraceFlags(flags))
    found = parse_traceparent(format_traceparent(context))
    assert found is not None
    assert (found.trace_id, found.span_id) == (trace_id, span_id)
    assert found.trace_flags == flags


@settings(max_examples=200, derandomize=True)
@given(st.binary(max_size=70))
def test_any_parent(parent: bytes) -> None:
    found = parse_traceparent(fields(parent))
    assert found is None or found.is_valid


def test_hops_of_one_request() -> None:
    entry = Tracer(Traces(sample_ratio=1), IDENTITY)
    agent = Tracer(Traces(), msgspec.structs.replace(IDENTITY, name='agent-1'))
    with entry.start('caller', 'r1') as caller:
        with entry.start('entry', 'r1', caller.context) as hop:
            parent = parse_traceparent(hop.to_headers())
            with agent.start('agent', 'r1', parent) as relay:
                backend = agent.start('backend', 'r1', relay.context)
                backend.attributes['status'] = 200
                backend.end('answered')
    entry.start('entry', 'r2').end('answered')
    spans = merge_spans(
        [
            entry.store.find_request('r1'),
            agent.store.find_request('r1'),
            agent.store.find_trace(spans_trace(entry)),
        ]
    )
    assert [span.hop for span in spans] == [
        'caller',
        'entry',
        'agent',
        'backend',
    ]
    assert [span.parent_id for span in spans] == [
        '',
        *(span.span_id for span in spans[:3]),
    ]
    assert {span.trace_id for span in spans} == {spans_trace(entry)}
    assert {span.host for span in spans} == {'entry-1', 'agent-1'}


def spans_trace(tracer: Tracer) -> str:
    return tracer.store.find_request('r1')[0].trace_id


def test_failed_hop_outlives_ordinary_ones() -> None:
    # Symptom: the hops of a failed request are gone when somebody looks.
    # Sequence: a request fails; thousands of good ones follow.
    # Cause: one ring for all spans.
    tracer = Tracer(Traces(sample_ratio=0, max_spans=16), IDENTITY)
    with pytest.raises(ZeroDivisionError), tracer.start('entry', 'bad'):
        raise ZeroDivisionError
    for number in range(100):
        tracer.start('entry', f'r{number}').end('answered')
    found = tracer.store.find_request('bad')
    assert [span.outcome for span in found] == ['ZeroDivisionError']
    assert tracer.store.find_request('r0') == []
    assert tracer.store.find_request('r99')


@pytest.mark.parametrize(
    ('ratio', 'failed', 'lines'),
    [(0, False, 0), (0, True, 1), (1, False, 1)],
)
def test_export(ratio: float, failed: bool, lines: int) -> None:
    written: list[bytes] = []
    writer = SpanWriter(Traces(), IDENTITY, written.append)
    tracer = Tracer(Traces(sample_ratio=ratio), IDENTITY, writer.export)
    parent = tracer.start('caller', 'r1')
    span = tracer.start('entry', 'r1', parent.context)
    span.attributes['service'] = 'drafting'
    span.end('timeout', failed)
    span.end('answered')
    assert writer.close()
    assert len(written) == lines
    for line in written:
        decoded = msgspec.json.decode(line)
        kept = tracer.store.find_request('r1')[0]
        assert decoded['context']['trace_id'] == f'0x{kept.trace_id}'
        assert decoded['context']['span_id'] == f'0x{kept.span_id}'
        assert decoded['parent_id'] == f'0x{kept.parent_id}'
        assert decoded['attributes'] == {
            'request.id': 'r1',
            'service': 'drafting',
            'outcome': 'timeout',
        }


def test_blocked_exporter() -> None:
    # Symptom: requests stop while the disk of exported spans is full.
    # Cause: a span exported by the event loop.
    def fill(line: bytes) -> None:
        raise OSError

    writer = SpanWriter(Traces(), IDENTITY, fill)
    tracer = Tracer(Traces(sample_ratio=1), IDENTITY, writer.export)
    for number in range(20):
        tracer.start('entry', f'r{number}').end('answered')
    assert writer.close()
    assert writer.writer.dropped == 20
    assert len(tracer.store.find_request('r3')) == 1


def test_span_survives_the_wire() -> None:
    tracer = Tracer(Traces(), IDENTITY)
    tracer.start('agent', 'r1').end('answered')
    span = tracer.store.find_request('r1')[0]
    encoded = msgspec.msgpack.encode(span)
    assert msgspec.msgpack.decode(encoded, type=Span) == span


def test_tracing_to_file(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'spans.jsonl'
    metrics = Metrics()
    chosen = Traces(sample_ratio=1, exporter='file', path=str(path))
    tracing = Tracing(chosen, IDENTITY, metrics)
    tracing.tracer.start('entry', 'r1').end('answered')
    assert tracing.close()
    lines = path.read_text().splitlines()
    assert [msgspec.json.decode(line)['name'] for line in lines] == ['entry']
    assert b'dropped_lines_total{buffer="spans"} 0.0' in metrics.render()


def test_tracing_without_exporter() -> None:
    metrics = Metrics()
    tracing = Tracing(Traces(sample_ratio=1), IDENTITY, metrics)
    tracing.tracer.start('entry', 'r1').end('answered')
    assert tracing.close()
    assert tracing.tracer.store.find_request('r1')
    assert b'buffer="spans"' not in metrics.render()
