from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ospreyford.documents.parsing import (
    MAX_DOCUMENT_BYTES,
    Document,
    RejectedDocument,
    parse_document,
)
from tests.documents import samples
from tests.documents.strategies import (
    CHEAP_SETTINGS,
    GOOD_TEXTS,
    SEEDED_SETTINGS,
)

CUSTOMER = 'kind = "customer"\nteam = "a"\ntitle = "t"\n'
DRAIN = 'kind = "drain-request"\nteam = "a"\ntitle = "t"\nreason = "r"\n'
LIMIT = samples.LIMIT.replace('100', '-5')
HEX = 'f' * 5000
DIGITS = '1' * 5000
BRACKETS = '[' * 5000
TWICE = (
    f'{samples.POOL}homes = ["h1"]\n'
    'former_homes = [{ name = "h1", until = 2026-01-01T00:00:00Z }]'
)
POOL = f'{samples.POOL}former_homes = [{{ name = "h1", until = 2026-01-01 }}]'


@pytest.mark.parametrize(
    ('text', 'path', 'found', 'allowed'),
    [
        ('kind = "pool"', '$.kind', "'pool'", 'one of routing-intent'),
        ('team = "a"', '$.kind', 'nothing', 'one of routing-intent'),
        (LIMIT, '$.limits.requests_per_second', '-5', '> 0'),
        (CUSTOMER, '$.customers', 'nothing', 'a value'),
        (f'{CUSTOMER}customers.a = 3', '$.customers.a', '3', 'object'),
        (
            f'{CUSTOMER}customers = {{ a = {{}}, b = {{ size = 1 }} }}',
            '$.customers.b.size',
            '1',
            'str',
        ),
        (
            f'{CUSTOMER}customers = {{ a = {{}}, "B c" = {{}} }}',
            "$.customers['B c']",
            "'B c'",
            'regex',
        ),
        (f'{CUSTOMER}color = 1', '$.color', '1', 'no such key'),
        (
            f'{CUSTOMER}"x - at `$.team`" = 1',
            "$['x - at `$.team`']",
            '1',
            'no such key',
        ),
        (f'{CUSTOMER}"x` - at `$.customers[...]" = 1', '$', 'x`', 'keys'),
        (
            f'{CUSTOMER}customers.a.customer = "b"',
            '$',
            'a table',
            'reserved ones: customer',
        ),
        (f'{DRAIN}hosts = {{}}', '$.hosts', 'a table', 'everything = true'),
        (
            f'{DRAIN}hosts = {{ everything = true, labels.a = "b" }}',
            '$.hosts',
            'a table',
            '`everything = true` alone',
        ),
        (
            f'{DRAIN}hosts.terms = [{{ operator = "is", label = "a" }}]',
            '$.hosts.terms[0].operator',
            "'is'",
            'one of equals, in, not-in, exists, absent',
        ),
        (TWICE, '$', 'a table', 'each home once'),
        (POOL, '$.former_homes[0].until', 'date', 'datetime'),
        (f'{DRAIN}priority = 0x{HEX}', '$.priority', 'bits', '1000'),
        (
            samples.LIMIT.replace('100', f'0x{HEX}'),
            '$.limits.requests_per_second',
            'an integer of 20000 bits',
            '',
        ),
        (f'a = {DIGITS}', '$', 'too long', 'TOML'),
        (f'a = {BRACKETS}', '$', 'too deep', 'TOML'),
        ('a = [', '$', 'end of document', 'TOML'),
        (b'a = "\xff"', '$', '0xff at byte 5', 'UTF-8'),
        (b' ' * (MAX_DOCUMENT_BYTES + 1), '$', '1048577 bytes', '1048576'),
    ],
)
def test_rejection_names_place_value_and_what_is_allowed(
    text: str | bytes, path: str, found: str, allowed: str
) -> None:
    encoded = text.encode() if isinstance(text, str) else text
    rejected = parse_document('doc', encoded)
    assert isinstance(rejected, RejectedDocument)
    assert (rejected.name, rejected.path) == ('doc', path)
    assert found in rejected.found
    assert allowed in rejected.allowed


@pytest.mark.parametrize(
    'key',
    ['a.' * 16, '"a" . ' * 16, "'a'." * 16],
)
def test_long_dotted_key_is_rejected_before_parsing(key: str) -> None:
    # Guards against quadratic time of tomllib on long dotted keys.
    rejected = parse_document('doc', f'{key}a = 1'.encode())
    assert isinstance(rejected, RejectedDocument)
    assert 'dotted key' in rejected.found


def test_nesting_too_deep_for_the_schema_is_a_rejection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a crash if the recursion limit is reached.
    def overflow(table: object) -> None:
        raise RecursionError

    monkeypatch.setattr('ospreyford.documents.parsing.convert_body', overflow)
    rejected = parse_document('doc', CUSTOMER.encode())
    assert isinstance(rejected, RejectedDocument)


@SEEDED_SETTINGS
@given(text=GOOD_TEXTS)
def test_well_formed_documents_are_accepted(text: str) -> None:
    assert isinstance(parse_document('doc', text.encode()), Document)


PIECES = st.sampled_from(
    [*'{}[]".=\n', 'kind', 'customer', 'customers', 'team', 'a', '- at `$', '1']
)
STARTS = st.sampled_from((CUSTOMER, DRAIN, samples.POOL))
ODD_KEYS = st.sampled_from(('customers', 'hosts', 'priority', 'x`'))
ODD_VALUES = st.sampled_from(('3', '{}', '[{a=1}]', '{"x`".y="`"}', 'nan'))
ODD_LINES = st.dictionaries(ODD_KEYS, ODD_VALUES).map(
    lambda pairs: '\n'.join(f'"{key}" = {text}' for key, text in pairs.items())
)


@CHEAP_SETTINGS
@given(
    text=st.one_of(
        st.binary(max_size=200),
        st.lists(PIECES, max_size=30).map(''.join).map(str.encode),
        st.tuples(STARTS, ODD_LINES).map(''.join).map(str.encode),
    )
)
def test_any_bytes_are_accepted_or_rejected(text: bytes) -> None:
    # Guards against exceptions other than those handled as rejections.
    outcome = parse_document('doc', text)
    assert isinstance(outcome, Document | RejectedDocument)


@SEEDED_SETTINGS
@given(text=GOOD_TEXTS, data=st.data())
def test_corrupted_documents_never_raise(
    text: str, data: st.DataObject
) -> None:
    encoded = bytearray(text.encode())
    for _ in range(data.draw(st.integers(1, 4))):
        offset = data.draw(st.integers(0, len(encoded) - 1))
        encoded[offset] = data.draw(st.integers(0, 255))
    outcome = parse_document('doc', bytes(encoded))
    assert isinstance(outcome, Document | RejectedDocument)
