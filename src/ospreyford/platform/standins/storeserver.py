"""Stand-in of the platform's store over HTTP, with restores from a copy."""

from __future__ import annotations

import time
from base64 import b64encode
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qsl, urlsplit

import curio
import msgspec

from ospreyford.http.errors import ConnectionLost
from ospreyford.http.message import Limits
from ospreyford.http.server import listen, port_of, serve_connection
from ospreyford.platform.headernames import STORE_GENERATION
from ospreyford.platform.standins.storestate import StoreState

if TYPE_CHECKING:
    from curio.io import Socket

    from ospreyford.http.message import Headers
    from ospreyford.http.server import Exchange

Query = dict[str, str]
PAGE_ITEMS: Final = 500
MS_PER_SECOND = 1000
POLL_SECONDS = 0.01


class StoreServer:
    """Serves the state of a store.

    ``is_away`` closes each connection unanswered, also of waiting watches;
    ``calls`` lists the paths of all calls.

    :param state: the store's state.
    :param page_items: maximum number of items of a page.
    """

    def __init__(self, state: StoreState, page_items: int = PAGE_ITEMS) -> None:
        self.state = state
        self.is_away = False
        self.calls: list[str] = []
        self._page_items = page_items

    async def open(self, host: str) -> tuple[str, int]:
        """Serve until the program ends.

        :param host: IP address to listen on.
        :returns: IP address and port.
        """
        sock = listen(host, 0)
        await curio.spawn(self._accept, sock, daemon=True)
        return host, port_of(sock)

    async def serve(self, exchange: Exchange) -> None:
        """Answer a call.

        :param exchange: the call.
        :raises ConnectionLost: the store is away.
        """
        parts = urlsplit(exchange.request.target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.calls.append(parts.path)
        if self.is_away:
            raise ConnectionLost
        match parts.path:
            case '/kv-key':
                await self._get(exchange, query['Key'])
            case '/kv-range':
                await self._list(exchange, query)
            case '/kv-watch':
                await self._watch(exchange, query)
            case _:
                await self.respond(exchange, HTTPStatus.NOT_FOUND, b'')

    async def respond(
        self, exchange: Exchange, status: int, body: bytes
    ) -> None:
        """Answer a call with the store's generation.

        :param exchange: the call.
        :param status: the HTTP status.
        :param body: the body.
        """
        await exchange.respond(status, body, self.make_headers())

    def make_headers(self) -> Headers:
        """Make the header fields of all answers.

        :returns: the store's generation, if it tells one.
        """
        generation = self.state.generation
        if generation is None:
            return ()
        return ((STORE_GENERATION, str(generation).encode()),)

    async def _accept(self, sock: Socket) -> None:
        async with sock:
            while True:
                client, _ = await sock.accept()
                await curio.spawn(
                    serve_connection, client, Limits(), self.serve, daemon=True
                )

    async def _get(self, exchange: Exchange, key: str) -> None:
        item = self.state.items.get(key)
        if item is None:
            await self.respond(exchange, HTTPStatus.NOT_FOUND, b'')
            return
        shown = {**encode_item(key, *item), 'At': self.state.revision}
        await self._respond_json(exchange, shown)

    async def _list(self, exchange: Exchange, query: Query) -> None:
        state = self.state
        after = query.get('After', '')
        keys = sorted(
            key
            for key in state.items
            if key.startswith(query['Prefix']) and key > after
        )
        page = [
            encode_item(key, *state.items[key])
            for key in keys[: self._page_items]
        ]
        shown = {
            'Items': page,
            'HasMore': len(keys) > self._page_items,
            'At': state.revision,
        }
        await self._respond_json(exchange, shown)

    async def _watch(self, exchange: Exchange, query: Query) -> None:
        state = self.state
        after = int(query['After'])
        until = time.monotonic() + int(query['WaitMs']) / MS_PER_SECOND
        while state.revision == after and time.monotonic() < until:
            if self.is_away:
                raise ConnectionLost
            await curio.sleep(POLL_SECONDS)
        if not state.has_history(after):
            await self.respond(exchange, HTTPStatus.GONE, b'')
            return
        events = [encode_item(*change) for change in state.list_changes(after)]
        await self._respond_json(
            exchange, {'events': events, 'At': state.revision}
        )

    async def _respond_json(self, exchange: Exchange, shown: Any) -> None:
        await self.respond(exchange, HTTPStatus.OK, msgspec.json.encode(shown))


def encode_item(key: str, raw: bytes | None, revision: int) -> dict[str, Any]:
    """Encode an item or a deletion.

    :param key: the key.
    :param raw: its value, or ``None`` if it was deleted.
    :param revision: revision of the change.
    :returns: the fields of the JSON object.
    """
    if raw is None:
        return {'Key': key, 'Revision': revision, 'Deleted': True}
    value = b64encode(raw).decode()
    return {'Key': key, 'Value': value, 'Revision': revision}
