"""The bytes of an answer."""

from __future__ import annotations

from typing import Any

import h11

CHUNKED = (b'transfer-encoding', b'chunked')


class AnswerEncoder:
    """Encodes the events of answers, the pieces of a chunked body itself.

    ``may_have_body`` says whether the request's method lets it have one.

    :param parser: the connection's parser; it keeps the protocol's state.
    """

    def __init__(self, parser: h11.Connection) -> None:
        self.may_have_body = True
        self._parser = parser
        self._is_chunked = False

    def encode(self, event: Any) -> bytes:
        """Encode an event.

        :param event: a response, a piece of data or the end mark.
        :returns: the bytes; perhaps none.
        :raises h11.LocalProtocolError: the event must not come now.
        """
        # A token costs h11 more than all else that is done to it here, and
        # a piece of a chunked body changes nothing of h11's state.
        if self._is_chunked and isinstance(event, h11.Data):
            return encode_chunk(event.data)
        encoded = self._parser.send(event) or b''
        if isinstance(event, h11.Response):
            # h11 adds the field if it chunks the body: not to a caller of
            # HTTP/1.0, to whom a chunk's length would be a part of the body.
            self._is_chunked = self.may_have_body and _says_chunked(encoded)
        else:
            self._is_chunked = False
        return encoded


def encode_chunk(piece: bytes) -> bytes:
    """Encode a piece of a chunked body (RFC 9112, section 7.1).

    :param piece: the bytes.
    :returns: the chunk; nothing for an empty piece, which would be the mark
        that the answer is whole.
    """
    return b'%x\r\n%b\r\n' % (len(piece), piece) if piece else b''


def _says_chunked(head: bytes) -> bool:
    fields = [
        tuple(part.strip().lower() for part in line.split(b':', 1))
        for line in head.split(b'\r\n')
    ]
    return CHUNKED in fields
