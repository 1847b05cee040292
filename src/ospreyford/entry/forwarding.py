"""Which header fields pass through this system, in either direction."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.http.message import Headers

CONNECTION_HEADER = b'connection'

#: Fields that belong to one connection, or that this system sets itself.
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
    """Select the fields that pass.

    Symptom without it: the back end reads a priority or a model version that
    the caller made up, or a caller reads an outcome that the back end made
    up; and a field meant for one connection reaches the next.

    :param headers: fields with lower-case names.
    :returns: those that belong neither to a connection nor to this system.
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
