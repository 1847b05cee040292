"""Read-only client of the platform's store."""

from __future__ import annotations

from base64 import b64decode
from typing import TYPE_CHECKING, Final, NamedTuple, TypeVar
from urllib.parse import urlencode

import msgspec

from ospreyford.http.errors import HttpError, TooSlow
from ospreyford.http.kept import KeptAnswer, KeptConnection
from ospreyford.http.message import Request
from ospreyford.http.reading import make_resources
from ospreyford.platform.errors import (
    BadRecord,
    HistoryCompacted,
    StoreUnavailable,
)
from ospreyford.platform.generations import GenerationTracker

if TYPE_CHECKING:
    from collections.abc import Mapping

OK_STATUS: Final = 200
NOT_FOUND_STATUS: Final = 404
GONE_STATUS: Final = 410
CONNECT_TIMEOUT_SECONDS = 0.7
#: Response timeout, in addition to the requested duration of a watch.
RESPONSE_TIMEOUT_SECONDS = 1.0
MS_PER_SECOND = 1000
#: Limit of an unfinished response; a page of a listing has one megabyte.
MAX_RESPONSE_BYTES: Final = 16_777_216


class Item(NamedTuple):
    """Stored value or deletion.

    :param key: its key.
    :param raw: the value, or ``None`` if it was deleted.
    :param revision: revision of the change.
    """

    key: str
    raw: bytes | None
    revision: int


class StoreResponse(NamedTuple):
    """Result of a call.

    :param items: stored values or changes, in order.
    :param revision: revision of the store at the time of the response.
    """

    items: tuple[Item, ...]
    revision: int


class _Item(msgspec.Struct, frozen=True, rename='pascal'):
    key: str
    revision: int
    # An empty value may be encoded as null.
    value: str | None = ''
    deleted: bool = False
    # Revision of the store; only in responses for a single key.
    at: int = 0


class _Page(msgspec.Struct, frozen=True, rename='pascal'):
    items: list[_Item]
    at: int
    has_more: bool = False


class _Changes(msgspec.Struct, frozen=True):
    events: list[_Item]
    at: int = msgspec.field(name='At')


_Decoded = TypeVar('_Decoded')

_item_decoder = msgspec.json.Decoder(_Item)
_page_decoder = msgspec.json.Decoder(_Page)
_changes_decoder = msgspec.json.Decoder(_Changes)


class StoreClient:
    """Calls the store, one request at a time on a persistent connection.

    :param address: IP address and port.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.calls = 0
        self.generations = GenerationTracker()
        # Of its own: backends that send without end must not slow it down.
        self._connection = KeptConnection(
            address,
            CONNECT_TIMEOUT_SECONDS,
            make_resources(MAX_RESPONSE_BYTES),
        )

    async def get(self, key: str) -> StoreResponse:
        """Read one value.

        :param key: its key.
        :returns: the value; no items if the key does not exist.
        :raises PlatformError: the call failed, or the response is invalid.
        """
        answer = await self._call('/kv-key', {'Key': key}, 0)
        if answer.status == NOT_FOUND_STATUS:
            return StoreResponse((), 0)
        self._check_status(answer.status)
        item = self._decode(_item_decoder, answer.body, key)
        return StoreResponse((_make_item(item),), item.at or item.revision)

    async def list_prefix(self, prefix: str) -> StoreResponse:
        """Read all values under a key prefix.

        Pages are not a consistent snapshot: watch from the returned revision to
        see concurrent changes.

        :param prefix: the key prefix.
        :returns: the values, and the revision of the first page.
        :raises PlatformError: the call failed, or the response is invalid.
        """
        items: list[Item] = []
        revision: int | None = None
        query = {'Prefix': prefix}
        while True:
            answer = await self._call('/kv-range', query, 0)
            self._check_status(answer.status)
            page = self._decode(_page_decoder, answer.body, prefix)
            items.extend(_make_item(one) for one in page.items)
            revision = page.at if revision is None else revision
            if not page.has_more or not page.items:
                return StoreResponse(tuple(items), revision)
            query = _make_next_query(query, page.items[-1].key)

    async def watch(
        self, prefix: str, after_revision: int, wait_seconds: float
    ) -> StoreResponse:
        """Wait for changes.

        :param prefix: the key prefix.
        :param after_revision: last known revision.
        :param wait_seconds: maximum duration.
        :returns: the changes; no items if nothing changed in time.
        :raises HistoryCompacted: changes after that revision were compacted.
        :raises PlatformError: the call failed, or the response is invalid.
        """
        query = {
            'Prefix': prefix,
            'After': str(after_revision),
            'WaitMs': str(int(wait_seconds * MS_PER_SECOND)),
        }
        answer = await self._call('/kv-watch', query, wait_seconds)
        if answer.status == GONE_STATUS:
            raise HistoryCompacted
        self._check_status(answer.status)
        changes = self._decode(_changes_decoder, answer.body, prefix)
        return StoreResponse(tuple(map(_make_item, changes.events)), changes.at)

    def set_address(self, address: tuple[str, int]) -> None:
        """Change the address used for new connections.

        :param address: IP address and port.
        """
        self._connection.address = address

    async def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        await self._connection.close()

    def _check_status(self, status: int) -> None:
        if status != OK_STATUS:
            raise StoreUnavailable(f'status {status}')

    def _decode(
        self, decoder: msgspec.json.Decoder[_Decoded], body: bytes, key: str
    ) -> _Decoded:
        try:
            return decoder.decode(body)
        except (msgspec.DecodeError, UnicodeError) as error:
            raise BadRecord(key, str(error)) from None

    async def _call(
        self, path: str, query: Mapping[str, str], wait_seconds: float
    ) -> KeptAnswer:
        self.calls += 1
        target = f'{path}?{urlencode(query, safe="/")}'
        timeout_seconds = wait_seconds + RESPONSE_TIMEOUT_SECONDS
        try:
            answer = await self._connection.call(
                Request('GET', target, ()), b'', timeout_seconds
            )
        except TooSlow:
            raise StoreUnavailable('no response within the timeout') from None
        except HttpError as error:
            raise StoreUnavailable(type(error).__name__) from None
        # Raises between the pages of a listing too: pages of two generations
        # are not joined.
        self.generations.check(answer.headers)
        return answer


def _make_next_query(query: Mapping[str, str], last_key: str) -> dict[str, str]:
    """Build the query for the next page.

    Refuses a page that does not advance, which would make the listing endless.

    :param query: query of the previous page.
    :param last_key: last key of that page.
    :returns: the query of the next page.
    :raises BadRecord: the page did not advance.
    """
    if last_key <= query.get('After', ''):
        raise BadRecord(last_key, 'page does not advance past the previous one')
    return {**query, 'After': last_key}


def _make_item(item: _Item) -> Item:
    if item.deleted:
        return Item(item.key, None, item.revision)
    try:
        raw = b64decode(item.value or '', validate=True)
    except ValueError as error:
        raise BadRecord(item.key, str(error)) from None
    return Item(item.key, raw, item.revision)
