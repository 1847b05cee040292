"""The client of the platform's store; the store is only read."""

from __future__ import annotations

from base64 import b64decode
from typing import TYPE_CHECKING, Final, NamedTuple, TypeVar
from urllib.parse import urlencode

import msgspec

from ospreyford.http.errors import HttpError, TooSlow
from ospreyford.http.kept import KeptConnection
from ospreyford.http.message import Request
from ospreyford.platform.errors import (
    BadRecord,
    HistoryCompacted,
    StoreUnavailable,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

OK_STATUS: Final = 200
NOT_FOUND_STATUS: Final = 404
GONE_STATUS: Final = 410
#: Time for opening a connection to the store, in seconds; it answers in
#: milliseconds when it is well.
CONNECT_TIMEOUT_SECONDS = 0.7
#: Time beyond what a call may wait by itself, in seconds: the store may be a
#: hundred times slower than its usual few milliseconds and still be of use.
RESPONSE_TIMEOUT_SECONDS = 1.0
MS_PER_SECOND = 1000


class Item(NamedTuple):
    """One stored value, or the mark that it was deleted.

    :param key: its key.
    :param raw: the value, or ``None`` if it was deleted.
    :param revision: of that change.
    """

    key: str
    raw: bytes | None
    revision: int


class StoreResponse(NamedTuple):
    """What a call returned.

    :param items: stored values or changes, in order.
    :param revision: of the store as it answered.
    """

    items: tuple[Item, ...]
    revision: int


class _Item(msgspec.Struct, frozen=True, rename='pascal'):
    key: str
    revision: int
    value: str = ''
    deleted: bool = False
    # The store's own revision, in answers about a single key only.
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
    """Calls of the store, one at a time on one kept connection.

    :param address: IP number and port.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.calls = 0
        self._connection = KeptConnection(address, CONNECT_TIMEOUT_SECONDS)

    async def get(self, key: str) -> StoreResponse:
        """Read one value.

        :param key: its key.
        :returns: the value, or nothing if there is none.
        :raises PlatformError: no answer, or none that can be used.
        """
        status, body = await self._call('/kv-key', {'Key': key}, 0)
        if status == NOT_FOUND_STATUS:
            return StoreResponse((), 0)
        self._check_status(status)
        found = self._decode(_item_decoder, body, key)
        return StoreResponse((_make_item(found),), found.at or found.revision)

    async def list_prefix(self, prefix: str) -> StoreResponse:
        """Read all values whose keys begin alike.

        Pages are no snapshot: what changes meanwhile is seen by a watch from
        the first page's revision.

        :param prefix: how the keys begin.
        :returns: the values, and the revision of the first page.
        :raises PlatformError: no answer, or none that can be used.
        """
        items: list[Item] = []
        revision: int | None = None
        query = {'Prefix': prefix}
        while True:
            status, body = await self._call('/kv-range', query, 0)
            self._check_status(status)
            page = self._decode(_page_decoder, body, prefix)
            items.extend(_make_item(one) for one in page.items)
            revision = page.at if revision is None else revision
            if not page.has_more or not page.items:
                return StoreResponse(tuple(items), revision)
            query = _make_next_query(query, page.items[-1].key)

    async def watch(
        self, prefix: str, after_revision: int, wait_seconds: float
    ) -> StoreResponse:
        """Wait for changes.

        :param prefix: how the keys begin.
        :param after: revision that is known already.
        :param seconds: how long to wait.
        :returns: the changes; none if nothing changed in time.
        :raises HistoryCompacted: the changes since then are not kept any more.
        :raises PlatformError: no answer, or none that can be used.
        """
        query = {
            'Prefix': prefix,
            'After': str(after_revision),
            'WaitMs': str(int(wait_seconds * MS_PER_SECOND)),
        }
        status, body = await self._call('/kv-watch', query, wait_seconds)
        if status == GONE_STATUS:
            raise HistoryCompacted
        self._check_status(status)
        found = self._decode(_changes_decoder, body, prefix)
        return StoreResponse(tuple(map(_make_item, found.events)), found.at)

    def set_address(self, address: tuple[str, int]) -> None:
        """Use another address, from the next connection on.

        :param address: IP number and port.
        """
        self._connection.address = address

    async def close(self) -> None:
        """Close the connection; the next call opens another one."""
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
    ) -> tuple[int, bytes]:
        self.calls += 1
        target = f'{path}?{urlencode(query, safe="/")}'
        timeout_seconds = wait_seconds + RESPONSE_TIMEOUT_SECONDS
        try:
            return await self._connection.call(
                Request('GET', target, ()), b'', timeout_seconds
            )
        except TooSlow:
            raise StoreUnavailable('no answer in time') from None
        except HttpError as error:
            raise StoreUnavailable(type(error).__name__) from None


def _make_next_query(query: Mapping[str, str], last_key: str) -> dict[str, str]:
    """Ask for what follows the last key of a page.

    A store that promises more and gives the same page again would be read
    for ever, at everybody's cost and with all of it kept in memory.

    :param query: of the page that was read.
    :param last_key: the last key on it.
    :returns: the query of the next page.
    :raises BadRecord: the page did not go on.
    """
    if last_key <= query.get('After', ''):
        raise BadRecord(last_key, 'a page that does not go on')
    return {**query, 'After': last_key}


def _make_item(found: _Item) -> Item:
    if found.deleted:
        return Item(found.key, None, found.revision)
    try:
        raw = b64decode(found.value, validate=True)
    except ValueError as error:
        raise BadRecord(found.key, str(error)) from None
    return Item(found.key, raw, found.revision)
