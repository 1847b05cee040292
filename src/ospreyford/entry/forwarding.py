"""Selects the header fields to forward, in both directions."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.http.message import Headers

CONNECTION_HEADER = b'connection'

#: Hop-by-hop fields and fields that the entry sets.
NOT_FORWARDED_HEADERS = frozenset(
    (
        CONNECTION_HEADER,
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
        b'host',
        b'x-request-id',
        b'x-priority',
        b'x-model-version',
        b'x-adapter',
        b'traceparent',
        b'tracestate',
    ),
)


def select_headers(headers: Headers) -> Headers:
    """Select the fields to forward.

    :param headers: fields with lower-case names.
    :returns: fields that are neither hop-by-hop nor set by the entry.
    """
    connection_options = _list_connection_options(headers)
    return tuple(
        pair
        for pair in headers
        if pair[0] not in NOT_FORWARDED_HEADERS
        and pair[0] not in connection_options
    )


def _list_connection_options(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for field, content in headers
        if field == CONNECTION_HEADER
        for token in content.split(b',')
    )
