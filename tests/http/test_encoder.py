"""Answers that are encoded without h11 are the ones that h11 would write."""

from __future__ import annotations

from itertools import product
from typing import Any

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.http.encoder import AnswerEncoder

FIELDS = ((), ((b'content-length', b'6'),), ((b'x', b'chunked'),))
PIECES = st.lists(st.binary(max_size=300), max_size=6)


def open_parser(method: str, version: bytes) -> h11.Connection:
    parser = h11.Connection(h11.SERVER)
    line = b'%b / HTTP/%b\r\nhost: x\r\n\r\n' % (method.encode(), version)
    parser.receive_data(line)
    parser.next_event()
    parser.next_event()
    return parser


def make_events(fields: Any, pieces: Any, ended: bool) -> list[Any]:
    head = h11.Response(status_code=200, headers=fields)
    end = [h11.EndOfMessage()] if ended else []
    return [head, *(h11.Data(data=piece) for piece in pieces), *end]


@pytest.mark.parametrize(
    ('method', 'version', 'fields'),
    tuple(product(('GET', 'HEAD'), (b'1.0', b'1.1'), FIELDS)),
)
@settings(max_examples=25, derandomize=True, deadline=None)
@given(pieces=PIECES, ended=st.booleans())
def test_bytes_and_state_are_those_of_h11(
    method: str, version: bytes, fields: Any, pieces: Any, ended: bool
) -> None:
    # Symptom: a caller reads a chunk's length as a part of the answer, or an
    # empty piece as its end.
    # Sequence: a caller of HTTP/1.0, a request for the head alone, a body of
    # a known length, an empty piece.
    # Cause: pieces were put into chunks where the answer has none.
    if fields and fields[0][0] == b'content-length':
        pieces = [b'abc', b'', b'def']
    if method == 'HEAD':
        pieces = []
    theirs = open_parser(method, version)
    ours = open_parser(method, version)
    encoder = AnswerEncoder(ours)
    encoder.may_have_body = method != 'HEAD'
    for event in make_events(fields, pieces, ended):
        assert encoder.encode(event) == (theirs.send(event) or b'')
        assert ours.our_state is theirs.our_state
