"""Header fields forwarded between callers and backends."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ospreyford.http.message import find_header

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.direct.call import Call
    from ospreyford.direct.headernames import HeaderNames
    from ospreyford.direct.registry import BackendServer
    from ospreyford.http.message import Headers

MILLISECONDS = 1000

#: Hop-by-hop fields (RFC 9110, section 7.6.1) and message framing.
HOP_BY_HOP_FIELDS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)


def read_text(headers: Headers, name: bytes) -> str | None:
    """Return the text of a field.

    :param headers: the fields.
    :param name: the field's name, in lower case.
    :returns: its text, or ``None`` if it is missing.
    """
    found = find_header(headers, name)
    return None if found is None else found.decode('latin-1')


def drop_hop_by_hop(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Drop the hop-by-hop fields.

    :param headers: the fields as received.
    :returns: the end-to-end fields.
    """
    dropped = HOP_BY_HOP_FIELDS | set(read_connection_options(headers))
    return [(name, text) for name, text in headers if name not in dropped]


def read_connection_options(headers: Headers) -> Iterable[bytes]:
    """List the fields named by the ``Connection`` field.

    :param headers: the fields as received.
    :returns: lower-case names.
    """
    named = find_header(headers, b'connection') or b''
    return [option.strip().lower() for option in named.split(b',')]


def make_backend_headers(
    call: Call,
    server: BackendServer,
    header_names: HeaderNames,
    remaining: float,
) -> Headers:
    """Make the header fields of a request to a backend.

    :param call: the request.
    :param server: the backend.
    :param header_names: names of the fields.
    :param remaining: seconds until the deadline.
    :returns: the fields, without a content length.
    """
    # Callers must not choose the customer or the instance.
    entry_fields = {
        header_names.key,
        header_names.customer,
        header_names.instance,
        header_names.deadline,
        header_names.last_event,
    }
    fields = [
        (name, text)
        for name, text in drop_hop_by_hop(call.request.headers)
        if name not in entry_fields
    ]
    fields.append(
        (header_names.deadline, b'%d' % int(remaining * MILLISECONDS))
    )
    fields.append((header_names.instance, server.id.encode()))
    if call.customer is not None:
        fields.append((header_names.customer, call.customer.name.encode()))
    if call.cursor is not None:
        fields.append((header_names.last_event, b'%d' % call.cursor))
    return tuple(fields)
