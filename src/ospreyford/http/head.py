"""A request's head as the parser hands it over."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ospreyford.http.errors import BadMessage
from ospreyford.http.message import Limits, Request

if TYPE_CHECKING:
    import h11

#: Request header fields too large (RFC 6585, section 5).
HEAD_TOO_LARGE: Final = 431
#: Bytes of a request line beside method and target: two spaces, the version
#: and the line's end.
LINE_BYTES = 12
#: Bytes of a field beside its name and content: colon, space and line end.
FIELD_BYTES = 4


def decode_head(event: h11.Request, limits: Limits) -> Request:
    """Decode a head.

    :param event: the parser's.
    :param limits: what the connection may cost.
    :returns: the request without its body.
    :raises BadMessage: the head is too long. The parser bounds only a head
        that is not whole yet: one that came with a single read would pass,
        however long it is.
    """
    size = LINE_BYTES + len(event.method) + len(event.target)
    size += sum(
        FIELD_BYTES + len(name) + len(content)
        for name, content in event.headers
    )
    if size > limits.head_bytes:
        raise BadMessage(HEAD_TOO_LARGE, f'head of {size} bytes')
    return Request(
        event.method.decode('ascii'),
        event.target.decode('ascii'),
        tuple(event.headers),
    )
