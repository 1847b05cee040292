"""HTTP client of the configuration service."""

from __future__ import annotations

from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec

from ospreyford.distribution.service import (
    Changes,
    DocumentText,
    Listing,
    ServiceUnavailable,
)
from ospreyford.http.client import fetch
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request, Response, find_header

OK_STATUS = 200
REVISION_HEADER = b'x-revision'

_Message = TypeVar('_Message', Listing, Changes)


class ServiceClient:
    """Calls the configuration service, over a new connection for each call.

    Calls are rare, and a new connection cannot be half-open.

    :param host: the service's IP address.
    :param port: the service's port.
    :param timeout: seconds for one call, in addition to the wait of a watch.
    """

    def __init__(self, host: str, port: int, timeout: float = 3) -> None:
        self._address = (host, port)
        self._timeout = timeout

    async def list_documents(self) -> Listing:
        """List all documents.

        :returns: names and revisions.
        :raises ServiceUnavailable: no usable answer.
        """
        body = (await self._send_request('/v1/documents'))[1]
        return _decode(body, Listing)

    async def read_document(self, name: str) -> DocumentText:
        """Read one document.

        :param name: the document's name.
        :returns: its text and revision.
        :raises ServiceUnavailable: no usable answer, or no such document.
        """
        quoted = quote(name, safe='')
        head, body = await self._send_request(f'/v1/documents/{quoted}')
        revision = find_header(head.headers, REVISION_HEADER) or b''
        if not revision.isdigit():
            raise ServiceUnavailable
        return DocumentText(revision=int(revision), text=body)

    async def watch(self, after: int, wait: float) -> Changes:
        """Wait for changes.

        :param after: the revision whose later changes are asked for.
        :param wait: seconds after which an empty answer comes.
        :returns: the changes.
        :raises ServiceUnavailable: no usable answer.
        """
        query = urlencode({'after': after, 'wait': wait})
        body = (await self._send_request(f'/v1/watch?{query}', wait))[1]
        return _decode(body, Changes)

    async def _send_request(
        self, target: str, wait: float = 0
    ) -> tuple[Response, bytes]:
        request = Request('GET', target, ())
        try:
            head, body = await fetch(
                self._address, request, timeout=self._timeout + wait
            )
        except HttpError:
            raise ServiceUnavailable from None
        if head.status != OK_STATUS:
            raise ServiceUnavailable
        return head, body


def _decode(body: bytes, message_type: type[_Message]) -> _Message:
    try:
        return msgspec.json.decode(body, type=message_type)
    except msgspec.MsgspecError:
        raise ServiceUnavailable from None
