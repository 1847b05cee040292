"""Tests of parsing and validating requests."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.entry.admission import Admission, BadCall
from ospreyford.entry.call import Call
from ospreyford.entry.directory import FleetDirectory
from ospreyford.entry.outcome import Cause
from ospreyford.entry.settings import RequestSettings
from ospreyford.http.message import Request, find_header
from tests.fakes.clock import FakeClock

KEY = '01900000-0000-7000-8000-00000000000a'
VALID_FIELDS = ((b'ospreyford-customer', b'c'), (b'ospreyford-service', b's'))
MAX_SECONDS = 120
LONE_SURROGATE = json.dumps({'prefix': '\ud800'}).encode()
Fields = tuple[tuple[bytes, bytes], ...]


def parse(
    *fields: tuple[bytes, bytes], body: bytes = b'', target: str = '/'
) -> Call:
    admission = Admission(RequestSettings(), FleetDirectory(), FakeClock())
    return admission.parse_call(Request('POST', target, fields), body)


def replace_field(name: str, content: bytes) -> Fields:
    field = name.encode()
    kept = [pair for pair in VALID_FIELDS if pair[0] != field]
    return (*kept, (field, content))


@pytest.mark.parametrize(
    ('fields', 'cause'),
    [
        (VALID_FIELDS[1:], Cause.missing_customer),
        (VALID_FIELDS[:1], Cause.unknown_service),
        *(
            (replace_field('ospreyford-customer', content), Cause.bad_request)
            for content in (b'\xff', b'a/b', b'\x00', b'a' * 129, b'\xc2\x85')
        ),
        *(
            (
                replace_field('ospreyford-deadline-ms', content),
                Cause.bad_deadline,
            )
            for content in (b'', b'-1', b'0', b'nan', b'inf', b'soon', b'\xff')
        ),
        *(
            (replace_field('idempotency-key', content), Cause.bad_key)
            for content in (b'', b'7', KEY[:-1].encode(), b'\xff' * 32)
        ),
        (replace_field('ospreyford-idempotent', b'yes'), Cause.bad_request),
        ((*VALID_FIELDS, VALID_FIELDS[0]), Cause.bad_request),
        ((*VALID_FIELDS, (b'ospreyford-service', b'other')), Cause.bad_request),
    ],
)
def test_invalid_fields_are_refused(fields: Fields, cause: Cause) -> None:
    """Repeated fields are refused: the backend could read the other value."""
    with pytest.raises(BadCall) as caught:
        parse(*fields)
    assert caught.value.cause is cause


def test_deadline_is_capped() -> None:
    call = parse(*replace_field('ospreyford-deadline-ms', b'1e300'))
    assert call.deadline == FakeClock().monotonic() + MAX_SECONDS


@pytest.mark.parametrize(
    'spelled',
    [KEY.upper(), f'"{KEY}"', KEY.replace('-', ''), f'{{{KEY}}}'],
)
def test_key_spellings_are_normalized(spelled: str) -> None:
    """A retry that spells its key differently must reach the same home."""
    call = parse(*replace_field('idempotency-key', spelled.encode()))
    assert call.key == KEY


@pytest.mark.parametrize(
    ('target', 'read_as'),
    [
        ('/quotes?of=http://x/', '/quotes?of=http://x/'),
        ('http://desk:80/quotes?a=1', '/quotes?a=1'),
        ('http://desk', '/'),
        ('*', '*'),
        ('desk:80', None),
        ('', None),
    ],
)
def test_target_forms_are_normalized(target: str, read_as: str | None) -> None:
    """An absolute-form target must match non-idempotent paths."""
    if read_as:
        assert parse(*VALID_FIELDS, target=target).target == read_as
    else:
        with pytest.raises(BadCall):
            parse(*VALID_FIELDS, target=target)


@pytest.mark.parametrize(
    ('body', 'tokens'),
    [
        (b'{"max_tokens":-5000}', range(6)),
        (b'{"max_tokens":%b}' % (b'9' * 400), range(2**31 + 200)),
        (b'{"x":%b' % (b'[' * 100_000), range(25_002)),
        (LONE_SURROGATE, range(70)),
        (b'{"max_tokens":7}', range(11, 12)),
    ],
)
def test_token_estimate_is_bounded(body: bytes, tokens: range) -> None:
    """A body must not refund tokens, overflow limits or exhaust the decoder."""
    assert parse(*VALID_FIELDS, body=body).estimated_tokens in tokens


def test_internal_fields_of_callers_are_dropped() -> None:
    """Callers must not set priority, model version or hop-by-hop fields."""
    forged = (
        b'x-request-id x-priority x-model-version x-adapter '
        b'traceparent tracestate te x-hop'
    )
    fields = ((name, b'forged') for name in forged.split())
    connection = ((b'connection', b'close, X-Hop'), (b'x-kept', b'1'))
    call = parse(*VALID_FIELDS, *fields, *connection)
    assert b'forged' not in dict(call.headers).values()
    assert find_header(call.headers, b'x-kept') == b'1'
    assert find_header(call.headers, b'connection') is None


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                b'ospreyford-customer ospreyford-deadline-ms connection '
                b'ospreyford-idempotent idempotency-key traceparent'.split()
            ),
            st.one_of(
                st.binary(max_size=40),
                st.floats().map(lambda number: str(number).encode()),
                st.sampled_from([b'c', b'true', KEY.encode()]),
            ),
        ),
        max_size=6,
    ),
    st.one_of(
        st.binary(max_size=60),
        st.integers().map(lambda count: b'{"max_tokens":%d}' % count),
    ),
)
def test_any_request_is_parsed_or_refused(
    fields: list[tuple[bytes, bytes]], body: bytes
) -> None:
    try:
        call = parse(*VALID_FIELDS, *fields, body=body)
    except BadCall as error:
        assert isinstance(error.cause, Cause)
        return
    assert 0 <= call.deadline - FakeClock().monotonic() <= MAX_SECONDS
    assert call.estimated_tokens >= 0
    assert '/' not in call.customer
