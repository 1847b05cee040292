"""Answers that an entry gives by itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ospreyford.direct.verdicts import Cause
    from ospreyford.http.message import Headers

CONTENT_TYPE = (b'content-type', b'application/problem+json')


def encode_problem(cause: Cause, request_id: str) -> bytes:
    """Make the body of an answer that tells why there is none.

    :param cause: why.
    :param request_id: of the request.
    :returns: a problem document (RFC 9457).
    """
    return msgspec.json.encode(
        {
            'type': 'about:blank',
            'title': cause.value,
            'instance': request_id,
        }
    )


def format_retry_after(seconds: float) -> Headers:
    """Tell when to come back.

    :param seconds: after which coming back may help.
    :returns: the header field.
    """
    return ((b'retry-after', f'{seconds:.2f}'.encode()),)
